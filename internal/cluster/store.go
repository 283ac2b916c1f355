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
	bolterrors "go.etcd.io/bbolt/errors"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Store is a Storage in one file, which only one process may open at a time. A Save is
// one transaction, durable when it returns. Every value is stored with its length and a
// checksum: flipped bits and torn writes are detected on reading and returned as an error
// that names the file, and none of its data is used. A Store is not safe for concurrent use.
type Store struct {
	path string
	db   *bbolt.DB
}

// ErrCorrupt reports that a store's file does not hold what was written. The member can't
// recover from it: it must be removed from the installation and join again.
var ErrCorrupt = errors.New("cluster: corrupt store")

// ErrStoreMismatch reports that a store belongs to another member or has another format.
var ErrStoreMismatch = errors.New("cluster: store of another member or format")

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

// OpenStore opens the store of a member and creates it, with mode 0600, if it does not exist.
func OpenStore(path string, member uint64) (s *Store, err error) {
	s = &Store{path: path}
	defer s.recoverPanic(&err)
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // a corrupt page may point beyond the memory map
	if err := checkMetaPages(path); err != nil {
		return nil, err
	}
	if s.db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType}); err != nil {
		switch {
		case errors.Is(err, bolterrors.ErrTimeout):
			return nil, fmt.Errorf("cluster: %s: locked by another process", path)
		case errors.Is(err, os.ErrPermission), errors.Is(err, os.ErrNotExist):
			return nil, fmt.Errorf("cluster: %w", err)
		}
		return nil, fmt.Errorf("%w: %s: %w", ErrCorrupt, path, err)
	}
	if err := s.identify(member); err != nil {
		_ = s.db.Close() // the first error is returned
		return nil, err
	}
	return s, nil
}

// identify checks that the file is a store of the member, or makes an empty file one. It writes to no other
// file: the free list of a corrupt one may lead writes anywhere.
func (s *Store) identify(member uint64) error {
	isEmpty := false
	err := s.db.View(func(tx *bbolt.Tx) error {
		isEmpty = tx.Bucket(bucketMeta) == nil
		if isEmpty {
			return nil
		}
		return s.checkIdentity(tx.Bucket(bucketMeta), member)
	})
	if err != nil || !isEmpty {
		return err
	}
	err = s.db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucket(bucketMeta)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucket(bucketEntries); err != nil {
			return err
		}
		return errors.Join(meta.Put(keyFormat, addChecksum(encodeUint64(formatVersion))), meta.Put(keyMember, addChecksum(encodeUint64(member))))
	})
	if err != nil {
		return fmt.Errorf("cluster: %s: %w", s.path, err)
	}
	return nil
}

// checkIdentity checks the format and the member of a store.
func (s *Store) checkIdentity(meta *bbolt.Bucket, member uint64) error {
	for _, n := range []struct {
		key  []byte
		want uint64
	}{{keyFormat, formatVersion}, {keyMember, member}} {
		v, err := s.verifyChecksum(meta.Get(n.key), "meta "+string(n.key))
		if err != nil {
			return err
		}
		if len(v) != 8 || binary.BigEndian.Uint64(v) != n.want {
			return fmt.Errorf("%w: %s: %s %x, not %d", ErrStoreMismatch, s.path, n.key, v, n.want)
		}
	}
	return nil
}

// checkMetaPages verifies both meta pages of an existing file. bbolt falls back to the
// older meta page if the newer one is corrupt, and would lose what was acknowledged last:
// a vote, or an entry that counted towards a majority. The meta data takes 64 bytes, which
// disks write atomically, so an invalid one is corrupt and not the result of a torn write.
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
			return fmt.Errorf("%w: %s: meta page %d: %w", ErrCorrupt, path, i, err)
		}
		m := b[pageHeaderBytes:]
		h := fnv.New64a()
		_, _ = h.Write(m[:metaBytes-8]) // a hash never fails
		if binary.NativeEndian.Uint32(m) != magic || binary.NativeEndian.Uint64(m[metaBytes-8:]) != h.Sum64() {
			return fmt.Errorf("%w: %s: meta page %d has a wrong checksum", ErrCorrupt, path, i)
		}
	}
	return nil
}

// recoverPanic turns a panic of bbolt on an invalid page into an error.
func (s *Store) recoverPanic(err *error) {
	if x := recover(); x != nil {
		*err = fmt.Errorf("%w: %s: %v", ErrCorrupt, s.path, x)
	}
}

func encodeUint64(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// addChecksum returns v with its length and checksum in front.
func addChecksum(v []byte) []byte {
	b := make([]byte, 8, 8+len(v))
	binary.BigEndian.PutUint32(b, uint32(len(v)))
	b = append(b, v...)
	binary.BigEndian.PutUint32(b[4:], crc32.Checksum(v, castagnoli)^uint32(len(v)))
	return b
}

// verifyChecksum returns the value in the output of addChecksum. The label names it in errors.
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

// Load reads the whole store and checks that the log has no gaps.
func (s *Store) Load() (stored *StoredState, err error) {
	defer s.recoverPanic(&err)
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // the file may have been truncated after it was mapped
	stored = &StoredState{}
	err = s.db.View(func(tx *bbolt.Tx) error {
		meta, entries := tx.Bucket(bucketMeta), tx.Bucket(bucketEntries)
		if meta == nil || entries == nil {
			return fmt.Errorf("%w: %s: a bucket is missing", ErrCorrupt, s.path)
		}
		if b := meta.Get(keyHardState); b != nil {
			stored.HardState = &pb.HardState{}
			if err := s.readMessage(b, "hard state", stored.HardState); err != nil {
				return err
			}
		}
		if b := meta.Get(keySnapshot); b != nil {
			stored.Snapshot = &pb.Snapshot{}
			if err := s.readMessage(b, "snapshot", stored.Snapshot); err != nil {
				return err
			}
		}
		lastIndex := uint64(0)
		if b := meta.Get(keyLastIndex); b != nil {
			v, err := s.verifyChecksum(b, "last index")
			if err != nil {
				return err
			}
			lastIndex = binary.BigEndian.Uint64(v)
		}
		nextIndex := stored.Snapshot.GetMetadata().GetIndex() + 1
		err := entries.ForEach(func(key, b []byte) error {
			e := &pb.Entry{}
			label := fmt.Sprintf("entry %x", key)
			if err := s.readMessage(b, label, e); err != nil {
				return err
			}
			if len(key) != 8 || binary.BigEndian.Uint64(key) != e.GetIndex() || e.GetIndex() != nextIndex {
				return fmt.Errorf("%w: %s: %s is out of sequence, expected index %d", ErrCorrupt, s.path, label, nextIndex)
			}
			nextIndex++
			stored.Entries = append(stored.Entries, e)
			return nil
		})
		if err == nil && nextIndex-1 != max(lastIndex, stored.Snapshot.GetMetadata().GetIndex()) {
			err = fmt.Errorf("%w: %s: log ends at index %d, expected %d", ErrCorrupt, s.path, nextIndex-1, lastIndex)
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	return stored, nil
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

// Save stores a batch atomically.
func (s *Store) Save(batch *WriteBatch) (err error) {
	defer s.recoverPanic(&err)
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	err = s.db.Update(func(tx *bbolt.Tx) error {
		meta, entries := tx.Bucket(bucketMeta), tx.Bucket(bucketEntries)
		if batch.HardState != nil {
			if err := putMessage(meta, keyHardState, batch.HardState); err != nil {
				return err
			}
		}
		if batch.Snapshot != nil {
			if err := putMessage(meta, keySnapshot, batch.Snapshot); err != nil {
				return err
			}
			snapshotIndex := batch.Snapshot.GetMetadata().GetIndex()
			if err := deleteEntries(entries, 0, func(i uint64) bool { return batch.Received || i <= snapshotIndex }); err != nil {
				return err
			}
		}
		if len(batch.Entries) > 0 {
			if err := deleteEntries(entries, batch.Entries[0].GetIndex(), func(uint64) bool { return true }); err != nil {
				return err
			}
		}
		entries.FillPercent = 0.9 // entries are appended in order
		for _, e := range batch.Entries {
			if err := putMessage(entries, encodeUint64(e.GetIndex()), e); err != nil {
				return err
			}
		}
		// The last index is stored apart from the entries: a corrupt branch page may hide some.
		switch {
		case len(batch.Entries) > 0:
			return meta.Put(keyLastIndex, addChecksum(encodeUint64(batch.Entries[len(batch.Entries)-1].GetIndex())))
		case batch.Received:
			return meta.Put(keyLastIndex, addChecksum(encodeUint64(batch.Snapshot.GetMetadata().GetIndex())))
		}
		return nil
	})
	if err != nil && !errors.Is(err, ErrCorrupt) {
		err = fmt.Errorf("cluster: %s: %w", s.path, err)
	}
	return err
}

// deleteEntries deletes entries from an index on, up to the first one that doesn't match.
func deleteEntries(b *bbolt.Bucket, from uint64, matches func(i uint64) bool) error {
	var keys [][]byte
	cur := b.Cursor()
	for k, _ := cur.Seek(encodeUint64(from)); len(k) == 8 && matches(binary.BigEndian.Uint64(k)); k, _ = cur.Next() {
		keys = append(keys, append([]byte(nil), k...))
	}
	for _, k := range keys {
		if err := b.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

// Close closes the file and releases its lock.
func (s *Store) Close() error { return s.db.Close() }
