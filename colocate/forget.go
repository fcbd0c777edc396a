package colocate

// maxRetainedImages leaves room for new images until the next fit.
const maxRetainedImages = maxImages * 3 / 4

// forgetUnused removes the images that neither a stored reading nor another model's
// statistics name, if there are more than maxRetainedImages.
func (m *Model) forgetUnused() {
	if len(m.bestEffort) > maxRetainedImages {
		m.forgetRows()
	}
	if len(m.serving) > maxRetainedImages {
		m.forgetServing()
	}
}

func (m *Model) forgetRows() {
	used := make([]bool, len(m.bestEffort))
	m.eachRow(func(row *int) { used[*row] = true })
	oldRow := make([]int, 0, len(used)) // by new row
	newRow := make([]int, len(used))
	clear(m.rows)
	for row, name := range m.bestEffort {
		if used[row] {
			newRow[row] = len(oldRow)
			m.rows[name] = len(oldRow)
			m.bestEffort[len(oldRow)] = name
			oldRow = append(oldRow, row)
		}
	}
	m.bestEffort = m.bestEffort[:len(oldRow)]
	m.eachRow(func(row *int) { *row = newRow[*row] })
	for _, s := range m.serving {
		s.forgetRows(oldRow)
	}
}

// eachRow calls a function for the row of each share of a reading and of each effect in
// the statistics of other models.
func (m *Model) eachRow(f func(row *int)) {
	for _, r := range m.readings {
		for i := range r.bestEffort {
			f(&r.bestEffort[i].row)
		}
	}
	for _, other := range m.others() {
		for _, s := range other.serving {
			for i := range s.Effects {
				f(&s.Effects[i].Row)
			}
		}
	}
}

// forgetRows keeps the effects of the given rows, in this order. A fit sums up the
// equations again.
func (s *servingImage) forgetRows(kept []int) {
	effects := make([]float64, len(kept))
	for row, old := range kept {
		effects[row] = s.effect(old)
	}
	s.effects, s.own = effects, regression{}
}

func (m *Model) forgetServing() {
	used := map[*servingImage]bool{}
	for i := range m.readings {
		used[m.readings[i].image] = true
	}
	for _, other := range m.others() {
		for name := range other.serving {
			used[m.serving[name]] = true
		}
	}
	for name, s := range m.serving {
		if !used[s] {
			delete(m.serving, name)
		}
	}
}
