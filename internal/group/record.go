package group

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/tinarch/tinarch/internal/platform/table"
	"github.com/tinarch/tinarch/internal/replica"
	"github.com/tinarch/tinarch/internal/result"
)

// Record describes one epoch of a group. The table holds the latest accepted one.
type Record struct {
	Group   string   `json:"group"`
	Epoch   uint64   `json:"epoch"`
	Members []Member `json:"members"`
	// Proposal identifies the initial state that was sent to the members of the epoch.
	Proposal string `json:"proposal"`
}

func (r Record) config() replica.Config {
	config := replica.Config{Group: r.Group, Epoch: r.Epoch}
	for _, member := range r.Members {
		config.Members = append(config.Members, member.ID)
	}
	return config
}

func (r Record) has(id replica.MemberID) bool {
	_, found := r.member(id)
	return found
}

func (r Record) member(id replica.MemberID) (Member, bool) {
	for _, member := range r.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// HasMajority reports whether a majority of the members is alive.
func (r Record) HasMajority(alive map[replica.MemberID]bool) bool {
	count := 0
	for _, member := range r.Members {
		if alive[member.ID] {
			count++
		}
	}
	return count >= r.majority()
}

func (r Record) majority() int { return len(r.Members)/2 + 1 }

// Table is what groups need of the table service.
type Table interface {
	Get(ctx context.Context, key table.Key) (table.Item, error)
	Transact(ctx context.Context, token string, writes []table.Write) error
}

const partitionGroups = "groups"

// records reads and writes group records in the table.
type records struct{ table Table }

// get returns a group's record, or one with epoch zero if the table has none.
func (s records) get(ctx context.Context, groupID string) (Record, error) {
	item, err := s.table.Get(ctx, table.Key{Partition: partitionGroups, Sort: groupID})
	if errors.Is(err, table.ErrNotFound) {
		return Record{Group: groupID}, nil
	}
	if err != nil {
		return Record{}, err
	}
	var record Record
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return Record{}, result.Wrap(err, result.TableUnavailable, "the record of group %s can't be read", groupID)
	}
	return record, nil
}

// put replaces a group's record by next if the stored one still has the epoch former. After an
// error it reads the record again, since the write may have succeeded although its answer was
// lost.
func (s records) put(ctx context.Context, next Record, former uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return result.Wrap(err, result.Internal, "encoding the record of group %s", next.Group)
	}
	key := table.Key{Partition: partitionGroups, Sort: next.Group}
	err = s.table.Transact(ctx, next.Proposal, []table.Write{{
		Item:     table.Item{Key: key, Revision: next.Epoch, Value: value},
		Expected: former,
	}})
	if err == nil {
		return nil
	}
	stored, readErr := s.get(ctx, next.Group)
	if readErr == nil && stored.Epoch == next.Epoch && stored.Proposal == next.Proposal {
		return nil
	}
	return err
}
