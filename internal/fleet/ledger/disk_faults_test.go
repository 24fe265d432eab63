package ledger

import (
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// faultyDisk injects faults into file operations while failing is set: a full disk, device errors and partial writes.
// Its random numbers are seeded.
type faultyDisk struct {
	rng     *rand.Rand
	failing bool
	faults  int
}

// fault returns an error in a third of the calls while failing is set, and nil otherwise.
func (d *faultyDisk) fault() error {
	if !d.failing || d.rng.IntN(3) > 0 {
		return nil
	}
	d.faults++
	return []error{syscall.ENOSPC, syscall.EIO}[d.rng.IntN(2)]
}

func (d *faultyDisk) open(path string, flag int) (segmentFile, error) {
	if err := d.fault(); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, flag, 0o600)
	return &faultyFile{file, d}, err
}

type faultyFile struct {
	*os.File
	disk *faultyDisk
}

func (f *faultyFile) Write(b []byte) (int, error) {
	if err := f.disk.fault(); err != nil {
		n, _ := f.File.Write(b[:f.disk.rng.IntN(len(b)+1)])
		return n, err
	}
	return f.File.Write(b)
}

func (f *faultyFile) Sync() error {
	if err := f.disk.fault(); err != nil {
		return err
	}
	return f.File.Sync()
}

func (f *faultyFile) Truncate(size int64) error {
	if err := f.disk.fault(); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

// While file operations fail at random, an append either fails or is durable, and succeeds once the disk works again,
// even if a new segment was due during the faults. After a restart all acknowledged entries are there and count once.
func TestAppendsOnAFailingDisk(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			dir := t.TempDir()
			log, _, _ := open(t, dir)
			disk := &faultyDisk{rng: rand.New(rand.NewPCG(seed, 1))}
			log.openSegment = disk.open
			log.current = &faultyFile{log.current.(*os.File), disk}
			acknowledged, sequence := 0, uint64(0)
			for round := range 60 {
				disk.failing = round >= 10 && round < 40
				if round%7 == 3 {
					log.currentBytes += MaxSegmentBytes // as if the segment were full
				}
				var batch []*Entry
				for range 1 + disk.rng.IntN(4) {
					sequence++
					batch = append(batch, entry("a", 7, sequence))
				}
				for log.Append(batch) != nil { // retried until it is durable
					disk.failing = disk.failing && disk.rng.IntN(20) > 0
				}
				acknowledged += len(batch)
			}
			require.Positive(t, disk.faults)
			require.NoError(t, log.Close())
			seen := map[uint64]bool{}
			reopened, _, err := Open(dir, 1<<30, func(e *Entry) { seen[e.Sequence] = true })
			require.NoError(t, err)
			require.Len(t, seen, acknowledged)
			all, err := reopened.Read(Source{"a", 7}, Range{1, sequence}, 1<<20)
			require.NoError(t, err)
			require.GreaterOrEqual(t, len(all), acknowledged)
			require.NoError(t, reopened.Append([]*Entry{entry("a", 7, sequence+1)}))
			require.NoError(t, reopened.Close())
		})
	}
}
