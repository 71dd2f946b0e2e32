package dissemination_test

import (
	"bytes"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleyrack/bramleyrack/dissemination"
)

func ExampleRelayTree() {
	members := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5"}
	tree := dissemination.NewRelayTree(dissemination.Order("zone", members), 1, 2)
	fmt.Println(len(tree.Readers()), len(tree.Children(tree.Readers()[0])), tree.MaxDepth())
	// Output: 1 2 2
}

func TestTreeReachesEveryMemberOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.StringN(1, 8, -1), 1, 200, rapid.ID).Draw(t, "members")
		tree := dissemination.NewRelayTree(dissemination.Order("zone", members),
			rapid.IntRange(1, 5).Draw(t, "readers"), rapid.IntRange(1, 8).Draw(t, "fanout"))
		reached := slices.Clone(tree.Readers())
		for _, member := range members {
			for _, child := range tree.Children(member) {
				if parent, ok := tree.Parent(child); !ok || parent != member {
					t.Fatalf("%q is a child of %q, whose parent is %q", child, member, parent)
				}
				reached = append(reached, child)
			}
		}
		slices.Sort(reached)
		slices.Sort(members)
		if !slices.Equal(reached, members) {
			t.Fatalf("the tree reaches %q, want %q", reached, members)
		}
	})
}

func TestDeltaYieldsTheNewValueOrAnError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.ByteRange('a', 'c'), 0, 40)
		previous, next, other := text.Draw(t, "previous"), text.Draw(t, "next"), text.Draw(t, "other")
		delta := dissemination.Diff(previous, next)
		got, err := delta.Apply(previous)
		if err != nil || !bytes.Equal(got, next) {
			t.Fatalf("got %q, %v", got, err)
		}
		if got, err := delta.Apply(other); err == nil && !bytes.Equal(got, next) {
			t.Fatalf("applied to another value, the delta gave %q", got)
		}
	})
}

func newFollower(fleet int) *dissemination.Follower {
	return dissemination.NewFollower(dissemination.DefaultFollowerConfig(fleet), 0, rand.New(rand.NewSource(1)))
}

func TestOnlyHigherRevisionsAreAdopted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		follower := newFollower(100)
		highest := uint64(0)
		for _, revision := range rapid.SliceOf(rapid.Uint64Range(0, 20)).Draw(t, "revisions") {
			adopted := follower.Adopt(0, revision, 0)
			if adopted != (revision > highest) {
				t.Fatalf("revision %d received with %d in force: adopted %v", revision, highest, adopted)
			}
			highest = max(highest, revision)
			if follower.Revision() != highest {
				t.Fatalf("revision %d in force, want %d", follower.Revision(), highest)
			}
		}
	})
}

// TestUnchangedPeersDoNotHideAnOutageOfThePlatform checks that a follower reads the platform although a
// peer keeps reporting the same revision: the age that the peer reports grows, since the last reader
// has died.
func TestUnchangedPeersDoNotHideAnOutageOfThePlatform(t *testing.T) {
	follower := newFollower(100)
	follower.Adopt(0, 7, 0)
	for now := time.Duration(0); now < 6*time.Second; now += 100 * time.Millisecond {
		follower.PeerAnswered(now, dissemination.Observation{Revision: 7, Peer: "b", Age: now, AgeKnown: true})
		if follower.Next(now).Kind == dissemination.ReadPlatform {
			return
		}
	}
	t.Fatal("the follower never read the platform")
}

func TestSuspectFollowerTrustsItsViewOnlyAfterPeersConfirmIt(t *testing.T) {
	follower := newFollower(100)
	follower.Adopt(0, 7, 0)
	follower.PlatformAnswered(0, 7)
	if !follower.Unconfirmed() {
		t.Fatal("the follower trusts a platform answer that may be stale without asking peers")
	}
	follower.PeerAnswered(0, dissemination.Observation{Revision: 8, Peer: "b", AgeKnown: true})
	if !follower.Unconfirmed() {
		t.Fatal("the follower trusts its view although a peer has a higher revision")
	}
	follower.Adopt(0, 8, 0)
	follower.PeerAnswered(0, dissemination.Observation{Revision: 8, Peer: "b", AgeKnown: true})
	if follower.Unconfirmed() {
		t.Fatal("the follower is still suspect after a peer has confirmed its revision")
	}
}

// TestPlatformReadsStayWithinTheBudgetDuringAnOutage simulates 1,000 of 64,100 processes that get no
// confirmations, and checks that their share of the fleet's platform reads stays within the budget.
func TestPlatformReadsStayWithinTheBudgetDuringAnOutage(t *testing.T) {
	const fleet, sample, callsPerSecond = 64100, 1000, 2000
	followers := make([]*dissemination.Follower, sample)
	for i := range followers {
		followers[i] = dissemination.NewFollower(dissemination.DefaultFollowerConfig(fleet), 0, rand.New(rand.NewSource(int64(i))))
	}
	reads, peak := 0, 0
	const window = 10 * time.Second
	for now := time.Duration(0); now < 10*time.Minute; now += 50 * time.Millisecond {
		if now%window == 0 {
			peak, reads = max(peak, reads), 0
		}
		for _, f := range followers {
			if f.Next(now).Kind == dissemination.ReadPlatform {
				reads++
			}
		}
	}
	if limit := callsPerSecond * int(window/time.Second) * sample / fleet; peak > limit {
		t.Fatalf("%d reads in %v, want at most %d", peak, window, limit)
	}
}
