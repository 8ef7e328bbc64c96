package store_test

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuslug/hibiscuslug/internal/fake"
	"github.com/hibiscuslug/hibiscuslug/internal/quorum"
	"github.com/hibiscuslug/hibiscuslug/internal/store"
	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

func TestStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Store")
}

// tail is a modification of the log's last bytes and the expected result of
// opening it.
type tail struct {
	Name    string `json:"name"`
	Cut     int    `json:"cut"`
	Append  string `json:"append"`
	Flip    int    `json:"flip"`
	Kept    int    `json:"kept"`
	Damaged bool   `json:"damaged"`
}

func tails() []tail {
	text, err := os.ReadFile("testdata/tail.json")
	if err != nil {
		panic(err)
	}
	var list []tail
	if err := json.Unmarshal(text, &list); err != nil {
		panic(err)
	}
	return list
}

func entries(first, last, term uint64) quorum.Save {
	var save quorum.Save
	for index := first; index <= last; index++ {
		change := &wire.Change{CommandId: fmt.Sprintf("%d-%d", index, term)}
		save.Entries = append(save.Entries, &wire.Entry{Index: index, Term: term, Body: &wire.Entry_Change{Change: change}})
	}
	return save
}

func image(index, term uint64, reset bool) quorum.Save {
	encoded, err := (&wire.Image{Index: index, Term: term}).MarshalVT()
	Expect(err).NotTo(HaveOccurred())
	return quorum.Save{Image: encoded, ImageIndex: index, Reset: reset}
}

func open(folder string, disk store.FileSystem) (*store.Store, *store.Contents) {
	opened, contents, err := store.Open(folder, disk, nil)
	Expect(err).NotTo(HaveOccurred())
	return opened, contents
}

func write(opened *store.Store, saves ...quorum.Save) {
	done, err := opened.Write(saves)
	Expect(err).NotTo(HaveOccurred())
	Expect(done).To(Equal(len(saves)))
}

// reopen returns the contents of a folder and checks that its log has no gap.
func reopen(folder string) *store.Contents {
	opened, contents := open(folder, store.OSFileSystem{})
	Expect(opened.Close()).To(Succeed())
	for at, entry := range contents.Entries {
		Expect(entry.GetIndex()).To(Equal(contents.Image.GetIndex() + uint64(at) + 1))
	}
	return contents
}

var _ = Describe("a data folder", func() {
	var folder string
	vote := quorum.HardState{Term: 4, Vote: quorum.Peer{Name: "control2", DiskID: 9}}

	BeforeEach(func() { folder = GinkgoT().TempDir() })

	// Guards against a control VM that forms a second group after a restart with other seeds.
	It("keeps the founders of its first start", func() {
		first, second := []string{"a", "b"}, []string{"c"}
		opened, contents, err := store.Open(folder, store.OSFileSystem{}, first)
		Expect(err).NotTo(HaveOccurred())
		Expect(contents.Founders).To(Equal(first))
		write(opened, quorum.Save{Hard: &vote})
		Expect(opened.Close()).To(Succeed())
		opened, contents, err = store.Open(folder, store.OSFileSystem{}, second)
		Expect(err).NotTo(HaveOccurred())
		Expect(contents.Founders).To(Equal(first))
		Expect(opened.Close()).To(Succeed())
	})

	// Guards against a control VM that forms a group although it has been in one.
	It("records no founders once it holds the log of a group", func() {
		opened, _ := open(folder, store.OSFileSystem{})
		write(opened, entries(1, 1, 1))
		Expect(opened.Close()).To(Succeed())
		opened, contents, err := store.Open(folder, store.OSFileSystem{}, []string{"a"})
		Expect(err).NotTo(HaveOccurred())
		Expect(contents.Founders).To(BeEmpty())
		Expect(opened.Close()).To(Succeed())
	})

	// Guards against a log that cannot be opened, or that returns other
	// entries than those written, after an incomplete or corrupt write.
	for _, script := range tails() {
		It("opens with "+script.Name, func() {
			opened, first := open(folder, store.OSFileSystem{})
			write(opened, quorum.Save{Hard: &vote}, entries(1, 10, 4))
			Expect(opened.Close()).To(Succeed())
			path := filepath.Join(folder, "journal-0000000000000001")
			text, err := os.ReadFile(path)
			Expect(err).NotTo(HaveOccurred())
			more, err := hex.DecodeString(script.Append)
			Expect(err).NotTo(HaveOccurred())
			text = append(text[:len(text)-script.Cut], more...)
			if script.Flip > 0 {
				text[len(text)-script.Flip] ^= 1
			}
			Expect(os.WriteFile(path, text, 0o600)).To(Succeed())

			opened, contents := open(folder, store.OSFileSystem{})
			Expect(contents.Entries).To(HaveLen(script.Kept))
			Expect(contents.Damaged).To(Equal(script.Damaged))
			Expect(contents.Hard).To(Equal(vote))
			Expect(contents.DiskID).To(Equal(first.DiskID))
			write(opened, entries(uint64(script.Kept)+1, 12, 5))
			Expect(opened.Close()).To(Succeed())
			Expect(reopen(folder).Entries).To(HaveLen(12))
		})
	}

	// Guards against replaced entries of an earlier leader that reappear after a
	// restart.
	It("replaces entries that conflict with another leader's log", func() {
		opened, _ := open(folder, store.OSFileSystem{})
		write(opened, entries(1, 10, 1), entries(6, 7, 2))
		Expect(opened.Close()).To(Succeed())
		contents := reopen(folder)
		Expect(contents.Entries).To(HaveLen(7))
		Expect(contents.Entries[6].GetTerm()).To(Equal(uint64(2)))
	})

	// Guards against a member that votes twice in a term under one identity,
	// because emptying its disk has removed its first vote.
	It("gives an emptied folder another disk id", func() {
		opened, first := open(folder, store.OSFileSystem{})
		Expect(opened.Close()).To(Succeed())
		Expect(reopen(folder).DiskID).To(Equal(first.DiskID))
		Expect(os.RemoveAll(folder)).To(Succeed())
		Expect(reopen(folder).DiskID).NotTo(Equal(first.DiskID))
	})

	// Guards against partial writes that remain in the log, and against a
	// folder that remains unusable after space has been freed.
	It("refuses writes on a full disk, stays readable and recovers", func() {
		disk := fake.NewDisk()
		opened, _ := open(folder, disk)
		write(opened, entries(1, 10, 1))
		for _, room := range []int{0, 5, 11, 30} {
			disk.SetRoom(room)
			done, err := opened.Write([]quorum.Save{entries(11, 20, 1), image(15, 1, false)})
			Expect(err).To(MatchError(fake.ErrFull))
			Expect(done).To(BeZero())
			Expect(reopen(folder).Entries).To(HaveLen(10))
		}
		disk.SetRoom(-1)
		write(opened, entries(11, 20, 1), image(15, 1, false))
		Expect(opened.Close()).To(Succeed())
		contents := reopen(folder)
		Expect(contents.Image.GetIndex()).To(Equal(uint64(15)))
		Expect(contents.Entries).To(HaveLen(5))
	})

	// Guards against the loss of durable data in a crash between any two disk
	// operations while an image is written.
	DescribeTable("keeps all durable entries when it crashes at any point of writing an image", func(reset bool) {
		for crash := range 40 {
			at := filepath.Join(folder, fmt.Sprint(crash))
			disk := fake.NewDisk()
			opened, _ := open(at, disk)
			write(opened, quorum.Save{Hard: &vote}, entries(1, 10, 1))
			write(opened, image(4, 1, false), entries(11, 12, 1))
			disk.CrashAfter(crash)
			next := image(12, 1, reset)
			done, err := opened.Write([]quorum.Save{next, entries(13, 14, 2)})
			Expect(err == nil).To(Equal(done == 2))
			_ = opened.Close()
			contents := reopen(at)
			last := contents.Image.GetIndex() + uint64(len(contents.Entries))
			Expect(last).To(BeNumerically(">=", []uint64{12, 12, 14}[done]), "crash after %d operations", crash)
			Expect(contents.Image.GetIndex()).To(Or(Equal(uint64(4)), Equal(uint64(12))))
			Expect(contents.Hard).To(Equal(vote))
			Expect(contents.Damaged).To(BeFalse())
		}
	}, Entry("of its own log", false), Entry("of the leader's log", true))
})
