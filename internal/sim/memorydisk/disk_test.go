package memorydisk

import (
	"testing"

	"pebbleloom/internal/control/storage"
)

var _ storage.Disk = (*Disk)(nil)

func TestFilesKeepWhatWasWritten(t *testing.T) {
	disk, source := &Disk{}, []byte("first")
	if _, ok, err := disk.Read("log"); ok || err != nil {
		t.Fatalf("read of a missing file: found %v, error %v", ok, err)
	}
	for _, err := range []error{disk.Write("log", source), disk.Append("log", []byte(" second")), disk.Truncate("log", 8)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	source[0] = 'x'
	content, ok, err := disk.Read("log")
	if string(content) != "first se" || !ok || err != nil {
		t.Fatalf("content %q, found %v, error %v, want \"first se\"", content, ok, err)
	}
	content[0] = 'x'
	if again, _, _ := disk.Read("log"); string(again) != "first se" {
		t.Errorf("content after a reader changed its copy: %q", again)
	}
}
