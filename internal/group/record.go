package group

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/tinarch/tinarch/internal/platform/table"
	"github.com/tinarch/tinarch/internal/replica"
	"github.com/tinarch/tinarch/internal/result"
)

// Record is one epoch of a group as the table has accepted it.
type Record struct {
	Group   string   `json:"group"`
	Epoch   uint64   `json:"epoch"`
	Members []Member `json:"members"`
	// Proposal names the initial state that the members were given.
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

// HasMajority reports whether most of the members are alive.
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

// Table is the part of the table service that groups need.
type Table interface {
	Get(ctx context.Context, key table.Key) (table.Item, error)
	Transact(ctx context.Context, token string, writes []table.Write) error
}

const partitionGroups = "groups"

// records reads and writes the records of groups.
type records struct{ table Table }

// get returns a group's record, with epoch zero when there is none.
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

// put makes next the record, if the stored one still has the former epoch. A
// lost answer is resolved by reading.
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
