// Package store keeps a control VM's log, vote and snapshot in one data folder.
// What Write reports as done is durable.
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
	disk   Disk
	diskID uint64
	// segments are ordered by number; the last one is written to.
	segments []*segment
	// dirty is set when the last segment may hold bytes behind its synced part.
	dirty bool
}

// Contents is what a data folder held when it was opened.
type Contents struct {
	quorum.Stored
	// Disk is the folder's disk id, a new one if the folder was empty.
	Disk uint64
	// Known is set when the folder had a disk id before it was opened.
	Known bool
	// Cut counts the bytes that were no intact records.
	Cut int64
}

// Open opens a data folder and cuts a torn or damaged tail of its journal.
func Open(folder string, disk Disk) (*Store, *Contents, error) {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, nil, errors.Wrap(err, "create data folder")
	}
	store := &Store{folder: folder, disk: disk}
	contents := &Contents{}
	for _, load := range []func(*Contents) error{store.loadState, store.loadImage, store.loadJournal} {
		if err := load(contents); err != nil {
			return nil, nil, errors.CombineErrors(err, store.Close())
		}
	}
	contents.Disk = store.diskID
	return store, contents, nil
}

func (store *Store) loadState(contents *Contents) error {
	text, err := store.whole(stateName)
	if err != nil {
		return err
	}
	if text == nil {
		store.diskID = rand.Uint64() | 1
		return store.saveHard(quorum.HardState{})
	}
	kept := &wire.DiskState{}
	if err := kept.UnmarshalVT(text); err != nil {
		return errors.Wrap(err, "read vote and term")
	}
	store.diskID, contents.Known = kept.GetDisk(), true
	contents.Hard = quorum.HardState{Term: kept.GetTerm(), Vote: quorum.Peer{Name: kept.GetVote(), Disk: kept.GetVoteDisk()}}
	return nil
}

func (store *Store) loadImage(contents *Contents) error {
	text, err := store.whole(imageName)
	if err != nil || text == nil {
		return err
	}
	contents.Image = &wire.Image{}
	return errors.Wrap(contents.Image.UnmarshalVT(text), "read image")
}

func (store *Store) loadJournal(contents *Contents) error {
	numbers, err := store.numbers()
	if err != nil {
		return err
	}
	broken := false
	for _, number := range numbers {
		part, err := openSegment(store.disk, store.folder, number)
		if err != nil {
			return err
		}
		store.segments = append(store.segments, part)
		if broken {
			// Behind damage nothing can be joined to the log.
			err = part.cut()
		} else {
			broken, err = store.loadSegment(part, contents)
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

// syncAll makes durable what an earlier process may have written and not
// synced before it was killed: it counts as synced from now on.
func (store *Store) syncAll() error {
	for _, part := range store.segments {
		if err := part.file.Sync(); err != nil {
			return errors.Wrap(err, "sync journal segment")
		}
	}
	return errors.Wrap(store.disk.SyncFolder(store.folder), "sync data folder")
}

// loadSegment adds a segment's entries; the result tells whether the log is broken behind it.
func (store *Store) loadSegment(part *segment, contents *Contents) (bool, error) {
	entries, damaged, err := part.read()
	if err != nil {
		return false, err
	}
	size, err := part.file.Seek(0, io.SeekEnd)
	if err != nil {
		return false, errors.Wrap(err, "size of journal segment")
	}
	contents.Cut += size - part.size
	if err := part.cut(); err != nil {
		return false, err
	}
	for _, entry := range entries {
		if !contents.add(entry) {
			return true, nil
		}
	}
	return damaged, nil
}

// add puts an entry in its place; it replaces what followed there before.
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
		return true // left over from before the image replaced the log
	}
	contents.Entries = append(contents.Entries[:at], entry)
	return true
}

func (store *Store) numbers() ([]uint64, error) {
	files, err := os.ReadDir(store.folder)
	if err != nil {
		return nil, errors.Wrap(err, "list data folder")
	}
	var numbers []uint64
	for _, file := range files {
		text, ok := strings.CutPrefix(filepath.Base(file.Name()), "journal-")
		if !ok {
			continue
		}
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, errors.Wrapf(err, "journal segment %s", file.Name())
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}

// roll begins a new segment.
func (store *Store) roll() error {
	number := uint64(1)
	if len(store.segments) > 0 {
		number = store.segments[len(store.segments)-1].number + 1
	}
	part, err := openSegment(store.disk, store.folder, number)
	if err != nil {
		return err
	}
	if err := store.disk.SyncFolder(store.folder); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "sync data folder"), part.file.Close())
	}
	store.segments = append(store.segments, part)
	return nil
}

// Write makes saves durable, with one sync for all log entries between two
// images. On an error the first results are durable and the rest can be tried
// again.
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
	if err := store.cutDirty(); err != nil {
		return err
	}
	part := store.segments[len(store.segments)-1]
	if part.size >= segmentSize {
		if err := store.roll(); err != nil {
			return err
		}
		part = store.segments[len(store.segments)-1]
	}
	if err := part.write(buf, last); err != nil {
		// Cutting now frees the room of a partial write; if it fails, it is tried again.
		store.dirty = part.cut() != nil
		return err
	}
	return nil
}

// cutDirty removes what a failed write left behind the synced part.
func (store *Store) cutDirty() error {
	if !store.dirty {
		return nil
	}
	if err := store.segments[len(store.segments)-1].cut(); err != nil {
		return err
	}
	store.dirty = false
	return nil
}

func (store *Store) saveHard(hard quorum.HardState) error {
	record, err := (&wire.DiskState{
		Disk: store.diskID, Term: hard.Term, Vote: hard.Vote.Name, VoteDisk: hard.Vote.Disk,
	}).MarshalVT()
	if err != nil {
		return errors.Wrap(err, "marshal vote and term")
	}
	return store.replace(stateName, record)
}

// writeImage replaces the image and removes segments that it covers. Segments
// go from the oldest on: a later one may replace entries of an earlier one.
func (store *Store) writeImage(save quorum.Save) error {
	if err := store.cutDirty(); err != nil {
		return err
	}
	if err := store.replace(imageName, save.Image); err != nil {
		return err
	}
	if save.Reset || store.segments[len(store.segments)-1].size > 0 {
		if err := store.roll(); err != nil {
			return err
		}
	}
	for len(store.segments) > 1 && (save.Reset || store.segments[0].last <= save.ImageIndex) {
		part := store.segments[0]
		store.segments = store.segments[1:]
		if err := errors.CombineErrors(part.file.Close(), store.disk.Remove(part.path)); err != nil {
			return errors.Wrap(err, "remove journal segment")
		}
	}
	return nil
}

// Close closes the files.
func (store *Store) Close() error {
	var failure error
	for _, part := range store.segments {
		failure = errors.CombineErrors(failure, part.file.Close())
	}
	return failure
}
