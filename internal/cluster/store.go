package cluster

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"os"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Store is a Disk on one file, which one process may hold at a time. A Save is one
// transaction, durable when it returns. Every value carries its length and a checksum:
// what was flipped or torn is found when it is read, and is an error that names the file;
// nothing is served from it. It may be used by one goroutine at a time.
type Store struct {
	path string
	db   *bbolt.DB
}

// ErrCorrupt says that a store's file does not hold what was written. The member can't
// come back from it: it is taken out of the installation and joins anew.
var ErrCorrupt = errors.New("cluster: the store is corrupt")

// ErrStoreMismatch says that a store's file is another member's, or of another form.
var ErrStoreMismatch = errors.New("cluster: the store is not this member's")

var (
	bucketMeta    = []byte("meta")
	bucketEntries = []byte("entries")
	keyFormat     = []byte("format")
	keyMember     = []byte("member")
	keyHardState  = []byte("hard")
	keySnapshot   = []byte("snapshot")
	keyLastIndex  = []byte("last")
	castagnoli    = crc32.MakeTable(crc32.Castagnoli)
)

const (
	formatVersion = 1
	lockTimeout   = time.Second
)

// OpenStore opens or makes the store of a member. The file's mode is 0600.
func OpenStore(path string, member uint64) (s *Store, err error) {
	s = &Store{path: path}
	defer s.recoverPanic(&err)
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // what points beyond the file's map
	if err := checkMetaPages(path); err != nil {
		return nil, err
	}
	if s.db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType}); err != nil {
		switch {
		case errors.Is(err, bbolt.ErrTimeout):
			return nil, fmt.Errorf("cluster: %s: another process holds it", path)
		case errors.Is(err, os.ErrPermission), errors.Is(err, os.ErrNotExist):
			return nil, fmt.Errorf("cluster: %w", err)
		}
		return nil, fmt.Errorf("%w: %s: %w", ErrCorrupt, path, err)
	}
	err = s.db.Update(func(tx *bbolt.Tx) error {
		meta := tx.Bucket(bucketMeta)
		if meta == nil {
			if meta, err = tx.CreateBucket(bucketMeta); err != nil {
				return err
			}
			if _, err := tx.CreateBucket(bucketEntries); err != nil {
				return err
			}
			return errors.Join(meta.Put(keyFormat, addChecksum(encodeUint64(formatVersion))), meta.Put(keyMember, addChecksum(encodeUint64(member))))
		}
		for _, n := range []struct {
			key  []byte
			want uint64
		}{{keyFormat, formatVersion}, {keyMember, member}} {
			v, err := s.verifyChecksum(meta.Get(n.key), "meta "+string(n.key))
			if err != nil {
				return err
			}
			if len(v) != 8 || binary.BigEndian.Uint64(v) != n.want {
				return fmt.Errorf("%w: %s: %s %x, not %d", ErrStoreMismatch, path, n.key, v, n.want)
			}
		}
		return nil
	})
	if err != nil {
		_ = s.db.Close() // the first error counts
		return nil, err
	}
	return s, nil
}

// checkMetaPages checks both root pages of a file that is there. bbolt would fall back on the
// older root if the newer one is spoilt, and so forget what was acknowledged last: a
// vote, or an entry that counted for a majority. A root is 64 bytes, which disks write
// whole; one that does not hold was spoilt, and is an error here.
func checkMetaPages(path string) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	} else if err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	defer f.Close()
	const pageHeaderBytes, metaBytes, magic = 16, 64, 0xED0CDAED
	for i := range 2 {
		b := make([]byte, pageHeaderBytes+metaBytes)
		if _, err := f.ReadAt(b, int64(i*os.Getpagesize())); err != nil {
			return fmt.Errorf("%w: %s: root %d: %w", ErrCorrupt, path, i, err)
		}
		m := b[pageHeaderBytes:]
		h := fnv.New64a()
		_, _ = h.Write(m[:metaBytes-8]) // a hash takes every write
		if binary.NativeEndian.Uint32(m) != magic || binary.NativeEndian.Uint64(m[metaBytes-8:]) != h.Sum64() {
			return fmt.Errorf("%w: %s: root %d has a wrong checksum", ErrCorrupt, path, i)
		}
	}
	return nil
}

// recoverPanic turns a panic over a page that can't be into an error.
func (s *Store) recoverPanic(err *error) {
	if x := recover(); x != nil {
		*err = fmt.Errorf("%w: %s: %v", ErrCorrupt, s.path, x)
	}
}

func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// addChecksum adds a value's length and checksum in front of it.
func addChecksum(v []byte) []byte {
	b := make([]byte, 8, 8+len(v))
	binary.BigEndian.PutUint32(b, uint32(len(v)))
	b = append(b, v...)
	binary.BigEndian.PutUint32(b[4:], crc32.Checksum(v, castagnoli)^uint32(len(v)))
	return b
}

// verifyChecksum takes a sealed value apart; what names it for an error.
func (s *Store) verifyChecksum(b []byte, label string) ([]byte, error) {
	if len(b) < 8 || int(binary.BigEndian.Uint32(b)) != len(b)-8 {
		return nil, fmt.Errorf("%w: %s: %s has a wrong length", ErrCorrupt, s.path, label)
	}
	v := b[8:]
	if binary.BigEndian.Uint32(b[4:]) != crc32.Checksum(v, castagnoli)^uint32(len(v)) {
		return nil, fmt.Errorf("%w: %s: %s has a wrong checksum", ErrCorrupt, s.path, label)
	}
	return v, nil
}

// Load reads all that the store holds, and checks that the log has no gap.
func (s *Store) Load() (k *StoredState, err error) {
	defer s.recoverPanic(&err)
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // a file cut short under its map
	k = &StoredState{}
	err = s.db.View(func(tx *bbolt.Tx) error {
		meta, entries := tx.Bucket(bucketMeta), tx.Bucket(bucketEntries)
		if meta == nil || entries == nil {
			return fmt.Errorf("%w: %s: a part is missing", ErrCorrupt, s.path)
		}
		if b := meta.Get(keyHardState); b != nil {
			k.HardState = &pb.HardState{}
			if err := s.readMessage(b, "the hard state", k.HardState); err != nil {
				return err
			}
		}
		if b := meta.Get(keySnapshot); b != nil {
			k.Snapshot = &pb.Snapshot{}
			if err := s.readMessage(b, "the snapshot", k.Snapshot); err != nil {
				return err
			}
		}
		lastIndex := uint64(0)
		if b := meta.Get(keyLastIndex); b != nil {
			v, err := s.verifyChecksum(b, "the last entry's number")
			if err != nil {
				return err
			}
			lastIndex = binary.BigEndian.Uint64(v)
		}
		nextIndex := k.Snapshot.GetMetadata().GetIndex() + 1
		err := entries.ForEach(func(key, b []byte) error {
			e := &pb.Entry{}
			label := fmt.Sprintf("entry %x", key)
			if err := s.readMessage(b, label, e); err != nil {
				return err
			}
			if len(key) != 8 || binary.BigEndian.Uint64(key) != e.GetIndex() || e.GetIndex() != nextIndex {
				return fmt.Errorf("%w: %s: %s is out of place, %d is wanted", ErrCorrupt, s.path, label, nextIndex)
			}
			nextIndex++
			k.Entries = append(k.Entries, e)
			return nil
		})
		if err == nil && nextIndex-1 != max(lastIndex, k.Snapshot.GetMetadata().GetIndex()) {
			err = fmt.Errorf("%w: %s: the log ends at %d, not at %d", ErrCorrupt, s.path, nextIndex-1, lastIndex)
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	return k, nil
}

func (s *Store) readMessage(b []byte, label string, into proto.Message) error {
	v, err := s.verifyChecksum(b, label)
	if err != nil {
		return err
	}
	if err := proto.Unmarshal(v, into); err != nil {
		return fmt.Errorf("%w: %s: %s: %w", ErrCorrupt, s.path, label, err)
	}
	return nil
}

func putMessage(b *bbolt.Bucket, key []byte, m proto.Message) error {
	v, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, addChecksum(v))
}

// Save writes a change, all or nothing.
func (s *Store) Save(c *WriteBatch) (err error) {
	defer s.recoverPanic(&err)
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	err = s.db.Update(func(tx *bbolt.Tx) error {
		meta, entries := tx.Bucket(bucketMeta), tx.Bucket(bucketEntries)
		if c.HardState != nil {
			if err := putMessage(meta, keyHardState, c.HardState); err != nil {
				return err
			}
		}
		if c.Snapshot != nil {
			if err := putMessage(meta, keySnapshot, c.Snapshot); err != nil {
				return err
			}
			snapshotIndex := c.Snapshot.GetMetadata().GetIndex()
			if err := deleteEntries(entries, 0, func(i uint64) bool { return c.Received || i <= snapshotIndex }); err != nil {
				return err
			}
		}
		if len(c.Entries) > 0 {
			if err := deleteEntries(entries, c.Entries[0].GetIndex(), func(uint64) bool { return true }); err != nil {
				return err
			}
		}
		entries.FillPercent = 0.9 // they come in order
		for _, e := range c.Entries {
			if err := putMessage(entries, encodeUint64(e.GetIndex()), e); err != nil {
				return err
			}
		}
		// Kept apart from the entries: a spoilt branch of their tree may hide some.
		switch {
		case len(c.Entries) > 0:
			return meta.Put(keyLastIndex, addChecksum(encodeUint64(c.Entries[len(c.Entries)-1].GetIndex())))
		case c.Received:
			return meta.Put(keyLastIndex, addChecksum(encodeUint64(c.Snapshot.GetMetadata().GetIndex())))
		}
		return nil
	})
	if err != nil && !errors.Is(err, ErrCorrupt) {
		err = fmt.Errorf("cluster: %s: %w", s.path, err)
	}
	return err
}

// deleteEntries deletes entries from an index on, as long as they are wanted gone.
func deleteEntries(b *bbolt.Bucket, from uint64, matches func(i uint64) bool) error {
	var keys [][]byte
	cur := b.Cursor()
	for k, _ := cur.Seek(encodeUint64(from)); k != nil && len(k) == 8 && matches(binary.BigEndian.Uint64(k)); k, _ = cur.Next() {
		keys = append(keys, append([]byte(nil), k...))
	}
	for _, k := range keys {
		if err := b.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

// Close lets the file go.
func (s *Store) Close() error { return s.db.Close() }
