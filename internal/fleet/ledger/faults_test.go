package ledger

import (
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// failingDisk fails calls to files by a seed, for as long as it is ill: no room, errors of the device, writes of a part.
type failingDisk struct {
	rng    *rand.Rand
	ill    bool
	placed int
}

func (d *failingDisk) fail() error {
	if !d.ill || d.rng.IntN(3) > 0 {
		return nil
	}
	d.placed++
	return []error{syscall.ENOSPC, syscall.EIO}[d.rng.IntN(2)]
}

func (d *failingDisk) create(path string, flag int) (segmentFile, error) {
	if err := d.fail(); err != nil {
		return nil, err
	}
	out, err := os.OpenFile(path, flag, 0o600)
	return &failingFile{out, d}, err
}

type failingFile struct {
	*os.File
	disk *failingDisk
}

func (f *failingFile) Write(b []byte) (int, error) {
	if err := f.disk.fail(); err != nil {
		n, _ := f.File.Write(b[:f.disk.rng.IntN(len(b)+1)])
		return n, err
	}
	return f.File.Write(b)
}

func (f *failingFile) Sync() error {
	if err := f.disk.fail(); err != nil {
		return err
	}
	return f.File.Sync()
}

func (f *failingFile) Truncate(size int64) error {
	if err := f.disk.fail(); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

// While a disk fails now and then, entries are refused or last. Once it is well, whatever was refused is taken, also where a segment was
// to begin meanwhile; behind a restart all that was acknowledged is there, and counts once.
func TestADiskThatFails(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			dir := t.TempDir()
			f, _, _ := open(t, dir)
			disk := &failingDisk{rng: rand.New(rand.NewPCG(seed, 1))}
			f.openSegment, f.current = disk.create, &failingFile{f.current.(*os.File), disk}
			acknowledged, number := 0, uint64(0)
			for round := range 60 {
				disk.ill = round >= 10 && round < 40
				if round%7 == 3 {
					f.currentBytes += MaxSegmentBytes // as if the segment were full
				}
				var some []*Entry
				for range 1 + disk.rng.IntN(4) {
					number++
					some = append(some, entry("a", 7, number))
				}
				for f.Append(some) != nil { // what is owed is tried again until it lasts
					disk.ill = disk.ill && disk.rng.IntN(20) > 0
				}
				acknowledged += len(some)
			}
			require.Positive(t, disk.placed)
			require.NoError(t, f.Close())
			seen := map[uint64]bool{}
			again, _, err := Open(dir, 1<<30, func(e *Entry) { seen[e.Sequence] = true })
			require.NoError(t, err)
			require.Len(t, seen, acknowledged)
			all, err := again.Read(Source{"a", 7}, Range{1, number}, 1<<20)
			require.NoError(t, err)
			require.GreaterOrEqual(t, len(all), acknowledged)
			require.NoError(t, again.Append([]*Entry{entry("a", 7, number+1)}))
			require.NoError(t, again.Close())
		})
	}
}
