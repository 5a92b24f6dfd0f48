package sesamegang

// Fanout is the number of children of a member in the gang's tree.
const Fanout = 16

// noMember stands for the parent of the root.
const noMember = -1

// Parent returns the member that member i reports to, or -1 for the root.
func Parent(i int) int {
	if i == 0 {
		return noMember
	}
	return (i - 1) / Fanout
}

// Children returns the members that report to member i in a gang of n.
func Children(i, n int) []int {
	var children []int
	for c := i*Fanout + 1; c <= i*Fanout+Fanout && c < n; c++ {
		children = append(children, c)
	}
	return children
}

// subtreeSize returns the number of members in the part of the gang below and
// including member i.
func subtreeSize(i, n int) int {
	size := 0
	for first, last := i, i; first < n; first, last = first*Fanout+1, last*Fanout+Fanout {
		size += min(last, n-1) - first + 1
	}
	return size
}

// height returns the number of levels below member i.
func height(i, n int) int {
	levels := 0
	for first := i*Fanout + 1; first < n; first = first*Fanout + 1 {
		levels++
	}
	return levels
}

// childTowards returns the child of member i whose part contains member m, or -1.
func childTowards(i, m int) int {
	for m > i {
		if Parent(m) == i {
			return m
		}
		m = Parent(m)
	}
	return noMember
}
