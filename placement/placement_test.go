package placement_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/bramleyrack/bramleyrack/placement"
)

var (
	currentKey  = []byte("current-key-0123")
	previousKey = []byte("previous-key-012")
)

func candidates(n int) []placement.Candidate {
	cs := make([]placement.Candidate, n)
	for i := range cs {
		cs[i] = placement.Candidate{Number: uint32(i + 1), Place: fmt.Sprint("place-", i%3), Weight: 1}
	}
	return cs
}

func ExampleRank() {
	upstreams := []placement.Candidate{
		{Number: 1, Place: "north", Weight: 1},
		{Number: 2, Place: "south", Weight: 1},
		{Number: 3, Place: "south", Weight: 1, Leaving: true},
	}
	fmt.Println(placement.Rank(nil, placement.FlowHash([]byte("flow")), "south", upstreams))
	// Output: [2 1 3]
}

func ExampleCodec() {
	codec, err := placement.NewCodec(currentKey, nil)
	if err != nil {
		panic(err)
	}
	id := codec.Encode(placement.Owner{Service: 1, Server: 7, Incarnation: 3}, 1)
	owner, ok := codec.Decode(id[:])
	fmt.Println(owner.Server, ok)
	// Output: 7 true
}

func TestRankIgnoresOrderOfCandidates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cs := candidates(rapid.IntRange(0, 100).Draw(t, "candidates"))
		for i := range cs {
			cs[i].Weight = float64(rapid.IntRange(0, 3).Draw(t, "weight"))
			cs[i].Leaving = rapid.Bool().Draw(t, "leaving")
		}
		flow := rapid.Uint64().Draw(t, "flow")
		want := placement.Rank(nil, flow, "place-1", cs)
		got := placement.Rank(nil, flow, "place-1", rapid.Permutation(cs).Draw(t, "order"))
		if !slices.Equal(want, got) {
			t.Fatalf("got %v after reordering the candidates, want %v", got, want)
		}
		if len(slices.Compact(slices.Sorted(slices.Values(got)))) != len(cs) {
			t.Fatalf("%v is not a permutation of the candidates", got)
		}
	})
}

func TestRankKeepsOrderOfOthersOnChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cs := candidates(rapid.IntRange(2, 20).Draw(t, "candidates"))
		flow := rapid.Uint64().Draw(t, "flow")
		removed := rapid.IntRange(0, len(cs)-1).Draw(t, "removed")
		all := placement.Rank(nil, flow, "", cs)
		rest := placement.Rank(nil, flow, "", slices.Delete(slices.Clone(cs), removed, removed+1))
		all = slices.DeleteFunc(all, func(n uint32) bool { return n == cs[removed].Number })
		if !slices.Equal(all, rest) {
			t.Fatalf("got %v after removing a candidate, want %v", rest, all)
		}
	})
}

func TestRankSharesByWeight(t *testing.T) {
	cs := candidates(3)
	cs[0].Weight = 2
	rnd := rand.New(rand.NewSource(1))
	const flows = 40_000
	first := map[uint32]int{}
	for range flows {
		first[placement.Rank(nil, rnd.Uint64(), "", cs)[0]]++
	}
	if share := float64(first[1]) / flows; share < 0.49 || share > 0.51 {
		t.Fatalf("weight 2 of a total of 4 got a share of %v, want 0.49 to 0.51", share)
	}
}

func TestCodecAcceptsTwoKeys(t *testing.T) {
	older, _ := placement.NewCodec(previousKey, nil)
	codec, err := placement.NewCodec(currentKey, previousKey)
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		owner := placement.Owner{
			Service:     rapid.Uint32Range(0, placement.MaxService).Draw(t, "service"),
			Server:      rapid.Uint32Range(0, placement.MaxServer).Draw(t, "server"),
			Incarnation: rapid.Uint32().Draw(t, "incarnation"),
		}
		nonce := rapid.Uint64().Draw(t, "nonce")
		for _, encoder := range []*placement.Codec{older, codec} {
			id := encoder.Encode(owner, nonce)
			if got, ok := codec.Decode(id[:]); !ok || got != owner {
				t.Fatalf("decoded %v, %v, want %v", got, ok, owner)
			}
		}
		id := codec.Encode(owner, nonce)
		if _, ok := older.Decode(id[:]); ok {
			t.Fatal("codec without the current key decoded a connection ID of that key")
		}
	})
}

func TestCodecRefusesForgedConnectionIDs(t *testing.T) {
	codec, _ := placement.NewCodec(currentKey, previousKey)
	rnd := rand.New(rand.NewSource(1))
	var id [placement.ConnectionIDLength]byte
	for range 100_000 {
		rnd.Read(id[:])
		if owner, ok := codec.Decode(id[:]); ok {
			t.Fatalf("random connection ID %x decoded to %v", id, owner)
		}
	}
}

func FuzzDestinationConnectionID(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8, 0})
	f.Add(append([]byte{0x40}, make([]byte, 20)...))
	codec, _ := placement.NewCodec(currentKey, previousKey)
	f.Fuzz(func(t *testing.T, packet []byte) {
		id, long, err := placement.DestinationConnectionID(packet)
		if err != nil {
			return
		}
		if !long && len(id) != placement.ConnectionIDLength {
			t.Fatalf("short header: connection ID of %d bytes, want 16", len(id))
		}
		codec.Decode(id)
	})
}

func TestDecodeAllocatesNothing(t *testing.T) {
	codec, _ := placement.NewCodec(currentKey, previousKey)
	id := codec.Encode(placement.Owner{Service: 1, Server: 2}, 3)
	if n := testing.AllocsPerRun(1000, func() { codec.Decode(id[:]) }); n != 0 {
		t.Fatalf("%v allocations per Decode, want 0", n)
	}
}

func BenchmarkDecode(b *testing.B) {
	codec, _ := placement.NewCodec(currentKey, previousKey)
	packet := make([]byte, 1200)
	id := codec.Encode(placement.Owner{Service: 1, Server: 2}, 3)
	copy(packet[1:], id[:])
	b.ReportAllocs()
	for b.Loop() {
		id, _, _ := placement.DestinationConnectionID(packet)
		if _, ok := codec.Decode(id); !ok {
			b.Fatal("connection ID was not decoded")
		}
	}
}

func BenchmarkRank(b *testing.B) {
	for _, n := range []int{3, 7, 10, 30, 60} {
		b.Run(fmt.Sprint("upstreams=", n), func(b *testing.B) {
			cs := candidates(n)
			dst := make([]uint32, 0, n)
			flow := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				flow++
				dst = placement.Rank(dst[:0], flow, "place-1", cs)
			}
		})
	}
}
