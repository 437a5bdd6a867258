package fleetsize

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/tinarch/tinarch/internal/authority"
	"github.com/tinarch/tinarch/internal/rowstore"
)

// table holds one row per service with the basis of its plan.
const table = "fleet"

// readOrWriteBasis reads the stored basis of a service's plan, or writes it if there is none
// yet. The first node that plans computes it from the fleet that the operators started. Later
// ones can't observe that fleet any more, since orders have changed it. A basis that is missing
// after the store was restored from a backup is written again.
func (c *Controller) readOrWriteBasis(ctx context.Context, service Service, fleet *fleetState, standing Counts) error {
	if status := c.options.Authority.Acquire(ctx); status != authority.Held {
		return eris.Errorf("no authority: %s", status)
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	era := c.options.Store.Era()
	content, version, err := c.options.Store.ReadRow(callCtx, table, service.Name)
	if err != nil {
		return eris.Wrap(err, "the basis of the plan can't be read")
	}
	var basis Basis
	if version > 0 {
		if err := json.Unmarshal(content, &basis); err != nil {
			return eris.Wrap(err, "the basis of the plan is malformed")
		}
		fleet.basis, fleet.era = &basis, era
		return nil
	}
	if fleet.basis != nil {
		basis = *fleet.basis
	} else {
		basis = c.policy.InitialBasis(service.Terms, standing)
	}
	if content, err = json.Marshal(basis); err != nil {
		return err
	}
	condition, held := c.options.Authority.Condition()
	if !held {
		return eris.New("the authority expired before the basis was written")
	}
	_, done, err := c.options.Store.Transact(callCtx, rowstore.Transaction{
		Conditions: []rowstore.Condition{condition, {Table: table, Key: service.Name}},
		Writes:     []rowstore.Write{{Table: table, Key: service.Name, Value: content}},
	})
	if err != nil || !done {
		return eris.Errorf("the basis of the plan was not written (done %v, %v)", done, err)
	}
	fleet.basis, fleet.era = &basis, era
	c.options.Log.WithFields(logrus.Fields{
		"service": service.Name, "lost": basis.Lost, "workers": basis.Workers, "standing": fmt.Sprint(standing),
	}).Info("the operators' fleet is the basis of the plan")
	return nil
}
