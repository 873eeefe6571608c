package faultmatrix

// row holds one value of each factor.
type row []int

// pair is one value of one factor together with one of another.
type pair struct {
	f1, v1, f2, v2 int
}

// cover returns rows such that every pair of values of any two factors occurs in at least one. It adds, one row
// after the other, the row that a greedy choice from an uncovered pair gives; the result is always the same.
func cover(levels []int) []row {
	missing := allPairs(levels)
	var rows []row
	for f1 := range levels {
		for f2 := f1 + 1; f2 < len(levels); f2++ {
			for v1 := range levels[f1] {
				for v2 := range levels[f2] {
					p := pair{f1, v1, f2, v2}
					if !missing[p] {
						continue
					}
					r := fill(levels, missing, p, len(rows))
					forget(missing, r)
					rows = append(rows, r)
				}
			}
		}
	}
	return rows
}

func allPairs(levels []int) map[pair]bool {
	all := map[pair]bool{}
	for f1 := range levels {
		for f2 := f1 + 1; f2 < len(levels); f2++ {
			for v1 := range levels[f1] {
				for v2 := range levels[f2] {
					all[pair{f1, v1, f2, v2}] = true
				}
			}
		}
	}
	return all
}

// fill starts a row from one pair and gives each other factor the value that covers most missing pairs. Equally
// good values take turns by the row's number, so that none of them is in most rows.
func fill(levels []int, missing map[pair]bool, p pair, number int) row {
	r := make(row, len(levels))
	for i := range r {
		r[i] = -1
	}
	r[p.f1], r[p.f2] = p.v1, p.v2
	for f := range levels {
		if r[f] >= 0 {
			continue
		}
		best, gain := 0, -1
		for i := range levels[f] {
			v := (i + number) % levels[f]
			if g := gained(missing, r, f, v); g > gain {
				best, gain = v, g
			}
		}
		r[f] = best
	}
	return r
}

// gained counts the missing pairs that value v of factor f makes with the values already in the row.
func gained(missing map[pair]bool, r row, f, v int) int {
	n := 0
	for g, w := range r {
		if w < 0 || g == f {
			continue
		}
		if missing[ordered(f, v, g, w)] {
			n++
		}
	}
	return n
}

func ordered(f1, v1, f2, v2 int) pair {
	if f1 > f2 {
		return pair{f2, v2, f1, v1}
	}
	return pair{f1, v1, f2, v2}
}

func forget(missing map[pair]bool, r row) {
	for f1, v1 := range r {
		for f2 := f1 + 1; f2 < len(r); f2++ {
			delete(missing, pair{f1, v1, f2, r[f2]})
		}
	}
}
