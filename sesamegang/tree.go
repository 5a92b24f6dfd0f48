package sesamegang

// Fanout is the greatest number of children of a member in a gang's tree.
const Fanout = 16

// noMember is the index used for the parent of the root, which has none.
const noMember = -1

// Parent returns the index of the member that member i sends its heartbeats to,
// or -1 for the root. The tree is laid out like a heap, level by level.
func Parent(i int) int {
	if i == 0 {
		return noMember
	}
	return (i - 1) / Fanout
}

// Children returns the indexes of the members that send their heartbeats to
// member i in a gang of n members.
func Children(i, n int) []int {
	var children []int
	for c := i*Fanout + 1; c <= i*Fanout+Fanout && c < n; c++ {
		children = append(children, c)
	}
	return children
}

// subtreeSize returns the number of members in the subtree rooted at member i,
// including member i, in a gang of n members.
func subtreeSize(i, n int) int {
	size := 0
	for first, last := i, i; first < n; first, last = first*Fanout+1, last*Fanout+Fanout {
		size += min(last, n-1) - first + 1
	}
	return size
}

// height returns the number of levels below member i in a gang of n members.
func height(i, n int) int {
	levels := 0
	for first := i*Fanout + 1; first < n; first = first*Fanout + 1 {
		levels++
	}
	return levels
}

// childTowards returns the child of member i whose subtree contains member m, or
// noMember when m is not below i.
func childTowards(i, m int) int {
	for m > i {
		if Parent(m) == i {
			return m
		}
		m = Parent(m)
	}
	return noMember
}
