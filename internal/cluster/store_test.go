package cluster

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

func entry(term, index uint64, data string) *pb.Entry {
	return &pb.Entry{Term: proto.Uint64(term), Index: proto.Uint64(index), Data: []byte(data)}
}

func hardState(term, commit uint64) *pb.HardState {
	return &pb.HardState{Term: proto.Uint64(term), Commit: proto.Uint64(commit), Vote: proto.Uint64(1)}
}

func snapshot(index uint64, data string) *pb.Snapshot {
	return &pb.Snapshot{Data: []byte(data), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(index), Term: proto.Uint64(1),
		ConfState: &pb.ConfState{Voters: []uint64{1, 2, 3}}}}
}

// describe returns the stored state as text, for comparison.
func describe(stored *StoredState) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d %d %d %q", stored.HardState.GetTerm(), stored.HardState.GetCommit(), stored.Snapshot.GetMetadata().GetIndex(), stored.Snapshot.GetData())
	for _, e := range stored.Entries {
		fmt.Fprintf(&b, " %d/%d %q", e.GetTerm(), e.GetIndex(), e.GetData())
	}
	return b.String()
}

func loadStore(t testing.TB, path string) (string, error) {
	t.Helper()
	s, err := OpenStore(path, 1)
	if err != nil {
		return "", err
	}
	defer s.Close()
	stored, err := s.Load()
	if err != nil {
		return "", err
	}
	return describe(stored), nil
}

// Store must behave as memStorage does after any sequence of saves, also after reopening.
func TestStoreMatchesMemStorage(t *testing.T) {
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 4))
		path := filepath.Join(t.TempDir(), "store")
		s, err := OpenStore(path, 1)
		if err != nil {
			t.Fatal(err)
		}
		model := &memStorage{}
		last, base := uint64(0), uint64(0)
		for range 60 {
			batch := &WriteBatch{}
			if random.IntN(2) == 0 {
				batch.HardState = hardState(random.Uint64N(9), last)
			}
			switch random.IntN(8) {
			case 0:
				if last > base {
					base += 1 + random.Uint64N(last-base)
					batch.Snapshot = snapshot(base, fmt.Sprint("state ", base))
				}
			case 1:
				base = last + random.Uint64N(5)
				last = base
				batch.Snapshot, batch.Received = snapshot(base, "foreign"), true
			default:
				from := base + 1 + random.Uint64N(last-base+1)
				for i := range 1 + random.Uint64N(6) {
					last = from + i
					batch.Entries = append(batch.Entries, entry(seed, last, strings.Repeat("x", random.IntN(3000))))
				}
			}
			if err := errors.Join(s.Save(batch), model.Save(batch)); err != nil {
				t.Fatal(err)
			}
			if random.IntN(10) == 0 {
				if err := s.Close(); err != nil {
					t.Fatal(err)
				}
				if s, err = OpenStore(path, 1); err != nil {
					t.Fatal(err)
				}
			}
			stored, err := s.Load()
			want, _ := model.Load()
			if err != nil || describe(stored) != describe(want) {
				t.Fatalf("seed %d: %v\n%s\n%s", seed, err, describe(stored), describe(want))
			}
		}
		s.Close()
	}
}

// writeStore writes a store and returns its bytes and its described state before and after
// the last save.
func writeStore(t testing.TB) (before, after []byte, wantBefore, wantAfter string) {
	path := filepath.Join(t.TempDir(), "store")
	s, err := OpenStore(path, 1)
	if err != nil {
		t.Fatal(err)
	}
	save := func(batch *WriteBatch) ([]byte, string) {
		if err := s.Save(batch); err != nil {
			t.Fatal(err)
		}
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		stored, err := s.Load()
		if err != nil {
			t.Fatal(err)
		}
		return b, describe(stored)
	}
	save(&WriteBatch{HardState: hardState(1, 1), Snapshot: snapshot(1, strings.Repeat("state", 100))})
	for i := range uint64(40) {
		before, wantBefore = save(&WriteBatch{HardState: hardState(2, i+1), Entries: []*pb.Entry{entry(2, i+2, fmt.Sprintf("entry %d %s", i, strings.Repeat("y", 200)))}})
	}
	after, wantAfter = save(&WriteBatch{HardState: hardState(3, 30), Entries: []*pb.Entry{entry(3, 30, "another"), entry(3, 31, "and one")}})
	s.Close()
	return before, after, wantBefore, wantAfter
}

// A flipped bit or a truncated file must be detected or harmless: Load returns what was
// saved, or an error that names the file.
func TestFlippedBits(t *testing.T) {
	_, after, _, want := writeStore(t)
	dir, n := t.TempDir(), 0
	random := rand.New(rand.NewPCG(1, 1))
	found, harmless := 0, 0
	loadDamaged := func(b []byte, what string) {
		n++ // a new file each time: a corrupt one may stay locked
		path := filepath.Join(dir, fmt.Sprint(n))
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := loadStore(t, path)
		switch {
		case err != nil && (!strings.Contains(err.Error(), path) || !errors.Is(err, ErrCorrupt) && !errors.Is(err, ErrStoreMismatch)):
			t.Fatalf("%s: error does not name the file: %v", what, err)
		case err != nil:
			found++
		case got == want:
			harmless++
		default:
			t.Fatalf("%s: loaded %.200s", what, got)
		}
	}
	for range 600 {
		b := bytes.Clone(after)
		i := random.IntN(len(b))
		b[i] ^= 1 << random.IntN(8)
		loadDamaged(b, fmt.Sprintf("byte %d", i))
	}
	for size := 0; size < len(after); size += 1777 {
		loadDamaged(after[:size], fmt.Sprintf("%d bytes", size))
	}
	if found == 0 || harmless == 0 {
		t.Error(found, harmless)
	}
	t.Logf("%d found, %d harmless", found, harmless)
}

// A write that a crash interrupts must leave the state before it: any subset of its pages
// may be written, but not the meta page that commits them. A partly written meta page,
// which disks don't produce, is rejected, since it looks like a corrupt one.
func TestTornWrite(t *testing.T) {
	before, after, wantBefore, wantAfter := writeStore(t)
	const page = 4096
	path := filepath.Join(t.TempDir(), "torn")
	random := rand.New(rand.NewPCG(2, 2))
	for range 100 {
		b := bytes.Clone(before)
		if len(after) > len(b) {
			b = append(b, make([]byte, len(after)-len(b))...)
		}
		for p := 2; p < len(after)/page; p++ { // pages 0 and 1 are the meta pages
			if random.IntN(2) == 0 {
				copy(b[p*page:(p+1)*page], after[p*page:(p+1)*page])
			}
		}
		want, partialMetaPage := wantBefore, false
		if random.IntN(2) == 0 { // all pages, and part of a meta page
			copy(b[2*page:], after[2*page:])
			for p := range 2 {
				if !bytes.Equal(before[p*page:(p+1)*page], after[p*page:(p+1)*page]) {
					n := random.IntN(80)
					copy(b[p*page:p*page+n], after[p*page:])
					switch {
					case bytes.Equal(b[p*page:(p+1)*page], after[p*page:(p+1)*page]):
						want = wantAfter
					case !bytes.Equal(b[p*page:(p+1)*page], before[p*page:(p+1)*page]):
						partialMetaPage = true
					}
				}
			}
		}
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		if got, err := loadStore(t, path); partialMetaPage && errors.Is(err, ErrCorrupt) {
			continue
		} else if err != nil || got != want {
			t.Fatalf("%v\n%.200s\n%.200s", err, got, want)
		}
	}
}

func TestStoreOwners(t *testing.T) {
	path := filepath.Join(t.TempDir(), "store")
	s, err := OpenStore(path, 1)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := OpenStore(path, 1); err == nil || !strings.Contains(err.Error(), "locked by another process") {
		t.Error(err)
	}
	if st, err := os.Stat(path); err != nil || st.Mode().Perm() != 0o600 {
		t.Error(st, err)
	}
	s.Close()
	if _, err := OpenStore(path, 2); !errors.Is(err, ErrStoreMismatch) {
		t.Error(err)
	}
	if _, err := OpenStore(filepath.Join(t.TempDir(), "no", "such"), 1); err == nil || errors.Is(err, ErrCorrupt) {
		t.Error(err)
	}
}

func FuzzStore(f *testing.F) {
	_, after, _, _ := writeStore(f)
	f.Add(uint32(0), []byte{1})
	f.Add(uint32(4096), []byte("rubbish"))
	f.Fuzz(func(t *testing.T, at uint32, patch []byte) {
		b := bytes.Clone(after)
		copy(b[int(at)%len(b):], patch)
		path := filepath.Join(t.TempDir(), "store")
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := loadStore(t, path); err != nil && !strings.Contains(err.Error(), path) {
			t.Error(err)
		}
	})
}
