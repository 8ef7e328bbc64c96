// Package store persists a control VM's log, term, vote and image in a data
// folder. Saves that Write reports as done are durable.
//
// The log is a sequence of segment files with numbered names (journal-NUMBER). Each
// record is an entry with its length and checksum; a record replaces earlier ones
// from its index on.
package store

import (
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/internal/quorum"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	folder string
	disk   FileSystem
	diskID uint64
	// founders is recorded beside the disk id; see Contents.
	founders []string
	// segments are ordered by number; the last one is written to.
	segments []*segment
	// dirty is set if the last segment may contain bytes of a failed write after
	// its intact part.
	dirty bool
}

// Contents is the contents of a data folder when it was opened.
type Contents struct {
	quorum.Stored
	// DiskID is the disk id of the folder, or a new one if the folder was empty.
	DiskID uint64
	// Founders are the names of the control VMs with which this one may form the first
	// group, as recorded before it joined one. It is empty on a disk that may only join.
	Founders []string
	// TruncatedBytes is the number of bytes that were removed from the segments
	// because they were not intact records. Segments after damage are emptied
	// without being counted.
	TruncatedBytes int64
}

// InGroup reports whether the control VM has belonged to a group with this disk.
func (contents *Contents) InGroup() bool { return contents.Image != nil || len(contents.Entries) > 0 }

// Open opens a data folder and truncates an incomplete or damaged tail of its log.
// Founders are recorded if the folder is of no group and has none yet; they stay
// whatever a later start gives, because settings change and the disk is what tells a
// new control VM from one that has been in a group.
func Open(folder string, disk FileSystem, founders []string) (*Store, *Contents, error) {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, nil, errors.Wrap(err, "create data folder")
	}
	store := &Store{folder: folder, disk: disk}
	contents := &Contents{}
	loadState := func(contents *Contents) error { return store.loadState(contents, founders) }
	recordFounders := func(contents *Contents) error { return store.recordFounders(contents, founders) }
	for _, load := range []func(*Contents) error{loadState, store.loadImage, store.loadLog, recordFounders} {
		if err := load(contents); err != nil {
			return nil, nil, errors.CombineErrors(err, store.Close())
		}
	}
	contents.DiskID, contents.Founders = store.diskID, store.founders
	return store, contents, nil
}

// loadState loads the disk id, the term and the vote. In an empty folder it makes a disk
// id and writes it together with the founders, so that no crash separates the two.
func (store *Store) loadState(contents *Contents, founders []string) error {
	data, err := store.readFile(stateName)
	if err != nil {
		return err
	}
	if data == nil {
		store.diskID, store.founders = rand.Uint64()|1, founders
		return store.saveHard(quorum.HardState{})
	}
	saved := &wire.DiskState{}
	if err := saved.UnmarshalVT(data); err != nil {
		return errors.Wrap(err, "decode term and vote")
	}
	store.diskID, store.founders = saved.GetDisk(), saved.GetFounders()
	contents.Hard = quorum.HardState{Term: saved.GetTerm(), Vote: quorum.Peer{Name: saved.GetVote(), DiskID: saved.GetVoteDisk()}}
	return nil
}

// recordFounders records the founders in a folder that has a disk id, for example of an
// older version, but neither a group nor founders.
func (store *Store) recordFounders(contents *Contents, founders []string) error {
	if len(store.founders) > 0 || len(founders) == 0 || contents.InGroup() {
		return nil
	}
	store.founders = founders
	return store.saveHard(contents.Hard)
}

func (store *Store) loadImage(contents *Contents) error {
	data, err := store.readFile(imageName)
	if err != nil || data == nil {
		return err
	}
	contents.Image = &wire.Image{}
	return errors.Wrap(contents.Image.UnmarshalVT(data), "decode image")
}

func (store *Store) loadLog(contents *Contents) error {
	numbers, err := store.segmentNumbers()
	if err != nil {
		return err
	}
	broken := false
	for _, number := range numbers {
		segment, err := openSegment(store.disk, store.folder, number)
		if err != nil {
			return err
		}
		store.segments = append(store.segments, segment)
		if broken {
			// Entries after damage cannot be joined to the log.
			err = segment.truncate()
		} else {
			broken, err = store.loadSegment(segment, contents)
		}
		if err != nil {
			return err
		}
	}
	contents.Damaged = contents.Damaged || broken
	if len(store.segments) == 0 {
		return store.roll()
	}
	return store.syncAll()
}

// syncAll syncs all segments. An earlier process may have been killed between a
// write and its sync, and what was read counts as durable from now on.
func (store *Store) syncAll() error {
	for _, segment := range store.segments {
		if err := segment.file.Sync(); err != nil {
			return errors.Wrap(err, "sync journal segment")
		}
	}
	return errors.Wrap(store.disk.SyncFolder(store.folder), "sync data folder")
}

// loadSegment adds the entries of a segment. It reports whether the log has a gap
// or damage after them, so that later segments cannot be used.
func (store *Store) loadSegment(segment *segment, contents *Contents) (bool, error) {
	entries, damaged, err := segment.read()
	if err != nil {
		return false, err
	}
	size, err := segment.file.Seek(0, io.SeekEnd)
	if err != nil {
		return false, errors.Wrap(err, "get size of journal segment")
	}
	contents.TruncatedBytes += size - segment.size
	if err := segment.truncate(); err != nil {
		return false, err
	}
	for _, entry := range entries {
		if !contents.add(entry) {
			return true, nil
		}
	}
	return damaged, nil
}

// add stores an entry at its index and drops the entries from that index on. It
// reports whether the entries before it are present.
func (contents *Contents) add(entry *wire.Entry) bool {
	base, baseTerm := contents.Image.GetIndex(), contents.Image.GetTerm()
	if entry.GetIndex() <= base {
		return true
	}
	at := entry.GetIndex() - base - 1
	if at > uint64(len(contents.Entries)) {
		return false
	}
	if entry.GetTerm() < baseTerm {
		return true // Left over from a log that the image replaced.
	}
	contents.Entries = append(contents.Entries[:at], entry)
	return true
}

// segmentNumbers lists the numbers of the log's segments in ascending order.
func (store *Store) segmentNumbers() ([]uint64, error) {
	files, err := os.ReadDir(store.folder)
	if err != nil {
		return nil, errors.Wrap(err, "list data folder")
	}
	var numbers []uint64
	for _, file := range files {
		digits, ok := strings.CutPrefix(filepath.Base(file.Name()), "journal-")
		if !ok {
			continue
		}
		number, err := strconv.ParseUint(digits, 10, 64)
		if err != nil {
			return nil, errors.Wrapf(err, "parse name of journal segment %s", file.Name())
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}

// roll starts a new segment.
func (store *Store) roll() error {
	number := uint64(1)
	if len(store.segments) > 0 {
		number = store.segments[len(store.segments)-1].number + 1
	}
	segment, err := openSegment(store.disk, store.folder, number)
	if err != nil {
		return err
	}
	if err := store.disk.SyncFolder(store.folder); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "sync data folder"), segment.file.Close())
	}
	store.segments = append(store.segments, segment)
	return nil
}

// Write makes saves durable, with one log sync for all log entries between two
// images. It returns the number of saves that are durable. After an error, the
// remaining ones can be written again.
func (store *Store) Write(saves []quorum.Save) (int, error) {
	done := 0
	for done < len(saves) {
		end := done
		for end < len(saves) && saves[end].Image == nil {
			end++
		}
		if err := store.writeEntries(saves[done:end]); err != nil {
			return done, err
		}
		done = end
		if done < len(saves) {
			if err := store.writeImage(saves[done]); err != nil {
				return done, err
			}
			done++
		}
	}
	return done, nil
}

func (store *Store) writeEntries(saves []quorum.Save) error {
	var buf []byte
	var last uint64
	var hard *quorum.HardState
	for _, save := range saves {
		if save.Hard != nil {
			hard = save.Hard
		}
		for _, entry := range save.Entries {
			record, err := entry.MarshalVT()
			if err != nil {
				return errors.Wrap(err, "marshal log entry")
			}
			buf = appendRecord(buf, record)
			last = max(last, entry.GetIndex())
		}
	}
	if hard != nil {
		if err := store.saveHard(*hard); err != nil {
			return err
		}
	}
	if len(buf) == 0 {
		return nil
	}
	return store.writeRecords(buf, last)
}

func (store *Store) writeRecords(buf []byte, last uint64) error {
	if err := store.truncateDirty(); err != nil {
		return err
	}
	segment := store.segments[len(store.segments)-1]
	if segment.size >= segmentBytes {
		if err := store.roll(); err != nil {
			return err
		}
		segment = store.segments[len(store.segments)-1]
	}
	if err := segment.write(buf, last); err != nil {
		// Truncating now frees the space of a partial write. If it fails, the next
		// write tries again.
		store.dirty = segment.truncate() != nil
		return err
	}
	return nil
}

// truncateDirty removes the bytes that a failed write left after the intact part.
func (store *Store) truncateDirty() error {
	if !store.dirty {
		return nil
	}
	if err := store.segments[len(store.segments)-1].truncate(); err != nil {
		return err
	}
	store.dirty = false
	return nil
}

func (store *Store) saveHard(hard quorum.HardState) error {
	record, err := (&wire.DiskState{
		Disk: store.diskID, Term: hard.Term, Vote: hard.Vote.Name, VoteDisk: hard.Vote.DiskID, Founders: store.founders,
	}).MarshalVT()
	if err != nil {
		return errors.Wrap(err, "marshal term and vote")
	}
	return store.replaceFile(stateName, record)
}

// writeImage replaces the image and removes the segments that it covers. They are
// removed from the oldest on, because a later segment may replace entries of an
// earlier one.
func (store *Store) writeImage(save quorum.Save) error {
	if err := store.truncateDirty(); err != nil {
		return err
	}
	if err := store.replaceFile(imageName, save.Image); err != nil {
		return err
	}
	if save.Reset || store.segments[len(store.segments)-1].size > 0 {
		if err := store.roll(); err != nil {
			return err
		}
	}
	for len(store.segments) > 1 && (save.Reset || store.segments[0].last <= save.ImageIndex) {
		segment := store.segments[0]
		store.segments = store.segments[1:]
		if err := errors.CombineErrors(segment.file.Close(), store.disk.Remove(segment.path)); err != nil {
			return errors.Wrap(err, "remove journal segment")
		}
	}
	return nil
}

// Close closes the log's files.
func (store *Store) Close() error {
	var failure error
	for _, segment := range store.segments {
		failure = errors.CombineErrors(failure, segment.file.Close())
	}
	return failure
}
