package latency

import "math"

// system holds the normal equations of a least-squares problem with three unknowns.
type system struct {
	matrix [3][3]float64
	right  [3]float64
}

// add adds one weighted observation.
func (s *system) add(factors [3]float64, target, weight float64) {
	for i, left := range factors {
		for j, right := range factors {
			s.matrix[i][j] += weight * left * right
		}
		s.right[i] += weight * left * target
	}
}

// addPrior adds an observation that one unknown has a value.
func (s *system) addPrior(unknown int, value, weight float64) {
	s.matrix[unknown][unknown] += weight
	s.right[unknown] += weight * value
}

// solvePositive solves the equations for unknowns that cannot be negative: any that would be is
// set to zero, and the others are solved for again.
func (s *system) solvePositive() [3]float64 {
	reduced := *s
	for {
		solved := reduced.solve()
		lowest := 0
		for i, value := range solved {
			if value < solved[lowest] {
				lowest = i
			}
		}
		if solved[lowest] >= 0 {
			return solved
		}
		reduced.fixAtZero(lowest)
	}
}

// fixAtZero removes an unknown from the equations, so that its solution is zero.
func (s *system) fixAtZero(unknown int) {
	for i := range s.right {
		s.matrix[unknown][i], s.matrix[i][unknown] = 0, 0
	}
	s.matrix[unknown][unknown], s.right[unknown] = 1, 0
}

// solve uses Gaussian elimination with partial pivoting. An unknown that the equations do not
// determine is zero.
func (s *system) solve() [3]float64 {
	matrix, right := s.matrix, s.right
	const n = len(right)
	for column := range n {
		pivot := column
		for row := column + 1; row < n; row++ {
			if math.Abs(matrix[row][column]) > math.Abs(matrix[pivot][column]) {
				pivot = row
			}
		}
		matrix[column], matrix[pivot] = matrix[pivot], matrix[column]
		right[column], right[pivot] = right[pivot], right[column]
		if matrix[column][column] == 0 {
			continue
		}
		for row := column + 1; row < n; row++ {
			factor := matrix[row][column] / matrix[column][column]
			for k := column; k < n; k++ {
				matrix[row][k] -= factor * matrix[column][k]
			}
			right[row] -= factor * right[column]
		}
	}
	var solved [3]float64
	for row := n - 1; row >= 0; row-- {
		sum := right[row]
		for k := row + 1; k < n; k++ {
			sum -= matrix[row][k] * solved[k]
		}
		if matrix[row][row] != 0 {
			solved[row] = sum / matrix[row][row]
		}
	}
	return solved
}
