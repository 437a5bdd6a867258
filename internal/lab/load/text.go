package load

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/tinarch/tinarch/internal/prefix"
)

// words is the vocabulary of the generated texts.
var words = strings.Fields(`the a of and to in is that for with as on by this from which be an or are
study method result theory section chapter author source citation reference analysis evidence measure
argument claim survey sample figure table model series value term case field group order system
river harbour winter siege longship market tower council border valley shield archer mason smith`)

// Texts generates the prompts of a workload.
type Texts struct {
	workload Workload
	shared   map[string][]string
}

// NewTexts generates the texts of the workload's corpora and returns a generator of its
// prompts.
func NewTexts(workload Workload) *Texts {
	t := &Texts{workload: workload, shared: map[string][]string{}}
	for i, corpus := range workload.Corpora {
		for number := range corpus.Texts {
			random := rand.New(rand.NewPCG(workload.Seed^0x7e87, uint64(i)<<32|uint64(number)))
			t.shared[corpus.Name] = append(t.shared[corpus.Name], generate(random, corpus.Tokens))
		}
	}
	return t
}

// generate returns a random text of the given length in tokens.
func generate(random *rand.Rand, tokens int) string {
	length := tokens * prefix.BytesPerToken
	var text strings.Builder
	text.Grow(length + 16)
	for text.Len() < length {
		text.WriteString(words[random.IntN(len(words))])
		text.WriteByte(' ')
	}
	return text.String()[:length]
}

// Prompt returns the prompt of an arrival. Each prompt contains the name of its stream and its
// number: as no two prompts are alike, an answer to another prompt is detected by its text.
func (t *Texts) Prompt(arrival Arrival) string {
	stream := t.workload.Streams[arrival.Stream]
	random := rand.New(rand.NewPCG(t.workload.Seed^0x9a17, uint64(arrival.Stream)<<32|uint64(arrival.Number)))
	own := fmt.Sprintf("\n[%s %d] ", stream.Name, arrival.Number) + generate(random, arrival.PromptTokens)
	if arrival.Text < 0 {
		return own
	}
	return t.shared[stream.Corpus][arrival.Text] + own
}

func sortByTime(schedule []Arrival) {
	slices.SortFunc(schedule, func(left, right Arrival) int {
		return cmp.Or(cmp.Compare(left.At, right.At), cmp.Compare(left.Stream, right.Stream), cmp.Compare(left.Number, right.Number))
	})
}
