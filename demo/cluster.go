package demo

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/config"
	"github.com/chivetiller/chivetiller/entry"
	"github.com/chivetiller/chivetiller/peer/devcert"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
	platformstandin "github.com/chivetiller/chivetiller/provider/standin"
	"github.com/chivetiller/chivetiller/settings"
	"github.com/chivetiller/chivetiller/standin"
	"github.com/chivetiller/chivetiller/team"
)

// Times of the demo. They are shorter than in production, so that a wave and a replacement take only seconds.
const (
	heartbeat      = 100 * time.Millisecond
	listLag        = 200 * time.Millisecond
	reportInterval = 100 * time.Millisecond
	rebootTime     = 300 * time.Millisecond
	waveNotice     = 600 * time.Millisecond
	balancerWait   = 300 * time.Millisecond
	readyTimeout   = 10 * time.Second
	stopTimeout    = 10 * time.Second
)

const (
	endpointsPerPool = 2 // in each data centre
	endpointsPerRack = 4
)

var (
	dataCentres = []string{"north", "south", "harbour"}
	// servicePools serve requests. The instances of the spare pool are idle until they are moved to another pool.
	servicePools = []string{"shiftDesk", "flagOffice", "warningBoard"}
	sparePool    = "support"
	classes      = []class.Spec{
		{Name: "shiftSwap", Pool: "shiftDesk", Target: "2s", Share: 2},
		{Name: "rotaPlan", Pool: "shiftDesk", Target: "5s", Share: 1},
		{Name: "flagPublication", Pool: "flagOffice", Target: "2s", Share: 1, Urgent: true},
		{Name: "hazardFlags", Pool: "warningBoard", Target: "1s", Share: 1, Open: true},
	}
	teams = []string{"supervisors", "beachOffice"}
)

// teamLimit is the upper limit of each team in the demo.
const teamLimit = 60

// cluster consists of a stand-in platform, stand-in endpoints and entry instances on loopback.
type cluster struct {
	logger    hclog.Logger
	dir       string
	platform  *platformstandin.Platform
	server    *platformstandin.Server
	endpoints []*standin.Endpoint
	authority *devcert.Authority
	entries   []*entryInstance
	keys      map[string]string
}

// entryInstance is an entry instance with its connection to the platform.
type entryInstance struct {
	*entry.Entry
	name   string
	remote *platformstandin.Remote
}

// newCluster starts the platform, the endpoints and the entry instances, and waits until they are ready. The caller
// has to stop the cluster, also after an error.
func newCluster(ctx context.Context, logger hclog.Logger) (*cluster, error) {
	c := &cluster{logger: logger, keys: make(map[string]string)}
	var err error
	if c.dir, err = os.MkdirTemp("", "chivetiller-demo"); err != nil {
		return c, err
	}
	c.platform = platformstandin.New(platformstandin.Options{ListLag: listLag, ReportInterval: reportInterval})
	if c.server, err = platformstandin.Serve(c.platform, "127.0.0.1:0", logger); err != nil {
		return c, err
	}
	if c.authority, err = devcert.NewAuthority(); err != nil {
		return c, err
	}
	if err := c.configure(ctx); err != nil {
		return c, err
	}
	if err := c.startEndpoints(ctx); err != nil {
		return c, err
	}
	for _, dataCentre := range dataCentres {
		if err := c.startEntry(ctx, dataCentre+"-1", dataCentre); err != nil {
			return c, err
		}
	}
	return c, c.waitReady(ctx)
}

// configure writes the first configuration to the table, with a key for each team.
func (c *cluster) configure(ctx context.Context) error {
	var documents []config.Document
	for _, name := range servicePools {
		documents = append(documents, config.NewDocument(pool.Spec{Name: name, MaxUnavailable: "50%"}))
	}
	documents = append(documents, config.NewDocument(pool.Spec{Name: sparePool, MaxUnavailable: "100%", Spare: true}))
	for _, spec := range classes {
		documents = append(documents, config.NewDocument(spec))
	}
	for _, name := range teams {
		key, stored, err := team.NewKey(name + "1")
		if err != nil {
			return err
		}
		c.keys[name] = key
		documents = append(documents, config.NewDocument(team.Spec{Name: name, Share: 1, UpperLimit: teamLimit, Keys: []team.KeySpec{stored}}))
	}
	store := config.NewStore(c.platform.Table(), config.StoreOptions{})
	_, err := store.Change(ctx, config.Request{OperationID: "demo", Author: "demo", Puts: documents})
	return eris.Wrap(err, "write the configuration")
}

// startEndpoints starts the endpoints of each pool in each data centre, lists them on the platform and assigns them to
// their pools in the table.
func (c *cluster) startEndpoints(ctx context.Context) error {
	rows := pool.NewStore(c.platform.Table())
	n := 0
	for _, name := range append([]string{sparePool}, servicePools...) {
		for _, dataCentre := range dataCentres {
			count := endpointsPerPool
			if name == sparePool {
				count = 1
			}
			for range count {
				n++
				listed := provider.Instance{
					ID:         fmt.Sprintf("i%02d", n),
					DataCentre: dataCentre,
					Rack:       fmt.Sprintf("%s-%d", dataCentre, n/endpointsPerRack),
					Slots:      standin.DefaultSlots,
				}
				e := standin.New(standin.Options{ID: listed.ID, ServiceTime: standin.LogNormal(8*time.Millisecond, 0.6), Logger: c.logger})
				if err := e.Start(ctx); err != nil {
					return err
				}
				c.endpoints = append(c.endpoints, e)
				listed.Address = e.Address()
				if err := c.platform.Instances().Add(listed, standin.NewInstanceDriver(e, rebootTime)); err != nil {
					return err
				}
				listed.Incarnation = 1
				if _, err := rows.Adopt(ctx, time.Now(), listed, name); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// startEntry starts an entry instance. To the other entry instances, it is a separate process.
func (c *cluster) startEntry(ctx context.Context, name, dataCentre string) error {
	files, err := c.authority.Write(c.dir, name, time.Hour)
	if err != nil {
		return err
	}
	var text strings.Builder
	fmt.Fprintf(&text, "name: %s\ndataCentre: %s\n", name, dataCentre)
	fmt.Fprintf(&text, "listen: {callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0'}\n")
	fmt.Fprintf(&text, "platform: {url: 'http://%s', writesPerSecond: 100, readsPerSecond: 600}\n", c.server.Address())
	fmt.Fprintf(&text, "certificates: {authority: %q, certificate: %q, key: %q}\n", files.Authority, files.Certificate, files.Key)
	fmt.Fprintf(&text, "membership: {heartbeat: %s}\n", heartbeat)
	fmt.Fprintf(&text, "waves: {lease: 3s, interval: 100ms}\n")
	fmt.Fprintf(&text, "stop: {balancerWait: %s}\n", balancerWait)
	s, err := settings.Parse(name+".yaml", []byte(text.String()))
	if err != nil {
		return err
	}
	remote := platformstandin.NewRemote(platformstandin.RemoteOptions{
		Address:  c.server.Address(),
		Identity: platformstandin.Identity{Client: name, DataCentre: dataCentre},
	})
	e, err := entry.New(entry.Options{
		Settings: s,
		Platform: entry.Services{Table: remote.Table(), Objects: remote.Objects(), Instances: remote.Instances(), Tasks: remote.Tasks()},
		Logger:   c.logger,
	})
	if err != nil {
		return err
	}
	if err := e.Start(ctx); err != nil {
		return err
	}
	c.entries = append(c.entries, &entryInstance{Entry: e, name: name, remote: remote})
	return nil
}

// waitReady returns when each entry instance is ready, or with an error after readyTimeout.
func (c *cluster) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, e := range c.entries {
		for e.Ready() != nil {
			select {
			case <-ctx.Done():
				return eris.Errorf("entry instance %s did not become ready: %v", e.name, e.Ready())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// stop stops everything that was started and removes the files of the cluster.
func (c *cluster) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var errs []error
	for _, e := range c.entries {
		errs = append(errs, e.Stop(ctx))
		e.remote.Close()
	}
	for _, e := range c.endpoints {
		errs = append(errs, e.Stop(ctx))
	}
	if c.server != nil {
		errs = append(errs, c.server.Stop(ctx))
	}
	if c.dir != "" {
		errs = append(errs, os.RemoveAll(c.dir))
	}
	return errors.Join(errs...)
}
