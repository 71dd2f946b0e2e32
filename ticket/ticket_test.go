package ticket_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/ticket"
)

func sealer(tb testing.TB, current, previous []byte) *ticket.Sealer {
	tb.Helper()
	s, err := ticket.NewSealer(current, previous)
	if err != nil {
		tb.Fatal(err)
	}
	return s
}

func key(fill byte) []byte {
	return bytes.Repeat([]byte{fill}, ticket.KeySize)
}

var sample = ticket.Ticket{Service: 1, Server: 58000, Incarnation: 3, Sequence: 4, Issued: 5 * time.Second}

func TestKeysRotate(t *testing.T) {
	sealed := sealer(t, key(1), nil).Seal(sample)
	opened, err := sealer(t, key(2), key(1)).Open(sealed)
	if err != nil || opened != sample {
		t.Fatalf("opened %+v %v", opened, err)
	}
	if _, err := sealer(t, key(3), key(2)).Open(sealed); err != ticket.ErrInvalid {
		t.Fatalf("a retired key opened the ticket: %v", err)
	}
}

func TestKeysHaveOneSize(t *testing.T) {
	if _, err := ticket.NewSealer([]byte("short"), nil); err == nil {
		t.Fatal("a short key was accepted")
	}
}

func FuzzOpen(f *testing.F) {
	s := sealer(f, key(1), nil)
	valid := s.Seal(sample)
	f.Add(valid)
	f.Add(valid[:len(valid)-1])
	f.Add([]byte{})
	f.Add(bytes.Repeat([]byte{0xff}, ticket.Size))
	f.Add(append(bytes.Clone(valid), 0))
	f.Fuzz(func(t *testing.T, b []byte) {
		opened, err := s.Open(b)
		if err == nil && !bytes.Equal(s.Seal(opened), b) {
			t.Fatalf("%x opened as %+v", b, opened)
		}
	})
}

func Example() {
	s, _ := ticket.NewSealer(bytes.Repeat([]byte{1}, ticket.KeySize), nil)
	ledger := ticket.NewLedger[string](ticket.Config{
		Service: 1, Server: 7, Incarnation: 1,
		Lifetime: time.Minute, AnswerLifetime: time.Minute, AnswerBytes: 1 << 20,
	})
	sealed := s.Seal(ledger.Mint(0))

	opened, _ := s.Open(sealed)
	first := ledger.Claim(time.Second, opened, 42)
	fmt.Println(first.State == ticket.StateFresh)
	ledger.Answer(2*time.Second, opened.Sequence, "order accepted", 14)

	repeat := ledger.Claim(3*time.Second, opened, 42)
	fmt.Println(repeat.State == ticket.StateAnswered, repeat.Answer)
	// Output:
	// true
	// true order accepted
}

func BenchmarkSeal(b *testing.B) {
	s := sealer(b, key(1), nil)
	b.ReportAllocs()
	for b.Loop() {
		s.Seal(sample)
	}
}

func BenchmarkOpen(b *testing.B) {
	s := sealer(b, key(1), nil)
	sealed := s.Seal(sample)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Open(sealed); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkTicketLifecycle covers mint, claim, answer and one duplicate claim, without sealing.
func BenchmarkTicketLifecycle(b *testing.B) {
	l := ticket.NewLedger[string](ticket.Config{Lifetime: time.Hour, AnswerLifetime: time.Hour, AnswerBytes: 1 << 20})
	b.ReportAllocs()
	for b.Loop() {
		minted := l.Mint(0)
		l.Claim(0, minted, 1)
		l.Answer(0, minted.Sequence, "answer", 256)
		l.Claim(0, minted, 1)
	}
}

// BenchmarkArchive adds the records of an owner, without answers, to an archive.
func BenchmarkArchive(b *testing.B) {
	const records = 10_000
	b.ReportAllocs()
	for b.Loop() {
		archive := ticket.NewArchive[string](0, time.Hour)
		for sequence := range uint64(records) {
			archive.Add(0, ticket.Record[string]{Sequence: sequence, State: ticket.StateRan}, 0)
		}
		archive.Complete(ticket.Bounds{Next: records})
	}
}
