package soak_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// order sends an order about a zone to random control VMs until one acknowledges it or
// the context ends, as the operator's client does.
func (deployment *deployment) order(ctx context.Context, random *rand.Rand, zone string, active bool) {
	path := "/Evacuations.End/"
	if active {
		path = "/Evacuations.Start/"
	} else {
		deployment.recorder.recordOrder(zone, false)
	}
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		switch status := post(ctx, client, "http://"+deployment.control[random.IntN(controls)]+path+zone, ""); {
		case status == http.StatusOK:
			if active {
				deployment.recorder.recordOrder(zone, true)
			}
			return
		case status != 0 && status < http.StatusInternalServerError:
			deployment.recorder.addViolation("an order about zone %s was refused with %d", zone, status)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// runEvacuations evacuates and restores the zones other than the one that stays
// evacuated until the context ends, and leaves them restored.
func (deployment *deployment) runEvacuations(ctx context.Context, seed uint64, held string) {
	defer GinkgoRecover()
	random := rand.New(rand.NewPCG(seed, 80))
	for ctx.Err() == nil {
		for _, zone := range backendZones {
			if zone == held {
				// The order is sent again, which changes nothing.
				deployment.repeatOrder(ctx, random, zone)
				continue
			}
			deployment.order(ctx, random, zone, true)
			time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
			limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), recoveryLimit)
			deployment.order(limited, random, zone, false)
			Expect(limited.Err()).NotTo(HaveOccurred(), "seed %d: zone %s could not be restored", seed, zone)
			cancel()
		}
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
	}
}

// repeatOrder sends the evacuation of a zone that is evacuated to one control VM. It may
// have no answer, but must not be refused.
func (deployment *deployment) repeatOrder(ctx context.Context, random *rand.Rand, zone string) {
	status := post(ctx, &http.Client{Timeout: time.Second}, "http://"+deployment.control[random.IntN(controls)]+"/Evacuations.Start/"+zone, "")
	if status >= http.StatusMultipleChoices && status < http.StatusInternalServerError {
		deployment.recorder.addViolation("an order about zone %s that was sent again was refused with %d", zone, status)
	}
}
