//go:build faults

package faults

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"shallotcourse/internal/fakes/relay"
	"shallotcourse/pkg/clnt"
	"shallotcourse/pkg/resrc"
)

const (
	operatorKey = "operator-key"
	callerKey   = "caller-key"
	modelName   = "oak"
	versionName = "oak-1"
	modelLayers = 12
	serviceName = "ledger"
)

type (
	// clusterConfig says which processes and resources a cluster has.
	clusterConfig struct {
		entries int
		// stages is the number of layer ranges; replicas the number of
		// targets that hold each of them.
		stages, replicas int
		// services is the number of targets of the plain service.
		services int
		// ignoreFence makes the engines accept old fencing tokens.
		ignoreFence bool
		// endless makes every answer as long as its maximum number of tokens.
		endless bool
		// relayed puts a relay, which can inject network faults, in front of every
		// link address.
		relayed bool
		// cost is the iteration time of the engines, as base/per-token.
		cost string
		// kinds are the accelerators of the replicas of each stage, in turn;
		// without them all replicas are alike.
		kinds []acceleratorKind
		// accounts are the client accounts in addition to the default one.
		accounts []account
		// extraEntry and extraAgent are appended to the settings of the entries
		// and agents.
		extraEntry, extraAgent string
	}

	// acceleratorKind is a kind of accelerator and the delay of the links of its
	// agents.
	acceleratorKind struct {
		name string
		// base and perToken are the iteration time of its engine.
		base, perToken time.Duration
		// delay holds back each message on the agent's links.
		delay time.Duration
	}

	// account is a client account. Its API key equals its name.
	account struct {
		name    string
		weight  int
		callers int
	}

	// node is an entry or agent process with its addresses.
	node struct {
		*proc
		listen   string
		operator string
		link     string
		relay    *relay.Relay
		// standin is the simulated engine or service behind an agent.
		standin    *proc
		standinURL string
		target     string
		stage      int
		kind       acceleratorKind
	}

	cluster struct {
		t        *testing.T
		config   clusterConfig
		platform *proc
		// platformURL is the address of the simulated platform, which also
		// serves its fault switches.
		platformURL string
		entries     []*node
		agents      []*node
		dir         string
		http        *http.Client
	}
)

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// newCluster starts the processes, writes the resources, and waits until every
// entry serves requests.
func newCluster(t *testing.T, p clusterConfig) *cluster {
	t.Helper()
	c := &cluster{t: t, config: p, dir: t.TempDir(), http: &http.Client{Timeout: 60 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	address := freeAddresses(t, 1)[0]
	c.platformURL = "http://" + address
	c.platform = start(t, "platform", "standin", "platform", "--listen", address)
	waitOK(t, c.platformURL+"/healthz")
	for i := range p.entries {
		c.addEntry(i)
	}
	for stage := range p.stages {
		for replica := range p.replicas {
			k := acceleratorKind{name: "fast"}
			if len(p.kinds) > 0 {
				k = p.kinds[replica%len(p.kinds)]
			}
			c.addAgentOf(k, stage, fmt.Sprintf("engine-%d-%d", stage, replica))
		}
	}
	for i := range p.services {
		c.addAgent(-1, fmt.Sprintf("service-%d", i))
	}
	for _, e := range c.entries {
		c.startNode(e)
	}
	for _, e := range c.entries {
		waitOK(t, "http://"+e.operator+"/readyz")
	}
	c.putResources()
	for _, a := range c.agents {
		c.startNode(a)
	}
	c.awaitServing()
	return c
}

func (c *cluster) addEntry(i int) {
	a := freeAddresses(c.t, 3)
	n := &node{listen: a[0], operator: a[1], link: a[2]}
	n.proc = &proc{t: c.t, name: fmt.Sprintf("entry-%d", i)}
	c.addRelay(n)
	c.entries = append(c.entries, n)
}

func (c *cluster) addAgent(stage int, target string) *node {
	return c.addAgentOf(acceleratorKind{name: "fast"}, stage, target)
}

func (c *cluster) addAgentOf(k acceleratorKind, stage int, target string) *node {
	a := freeAddresses(c.t, 3)
	n := &node{kind: k, operator: a[0], link: a[1], stage: stage, target: target, standinURL: "http://" + a[2]}
	n.proc = &proc{t: c.t, name: "agent-" + target}
	args := []string{"service", "--listen", a[2]}
	if stage >= 0 {
		args = []string{"engine", "--listen", a[2], "--load-time", "50ms"}
		if c.config.ignoreFence {
			args = append(args, "--ignore-fence")
		}
		if c.config.endless {
			args = append(args, "--endless")
		}
		if c.config.cost != "" {
			args = append(args, "--cost", "fast="+c.config.cost)
		}
		if k.base > 0 {
			args = append(args, "--accelerator", k.name, "--cost", fmt.Sprintf("%s=%v/%v", k.name, k.base, k.perToken))
		}
	}
	n.standin = start(c.t, target, "standin", args...)
	c.addRelay(n)
	if n.relay != nil {
		n.relay.SetDelay(k.delay)
	}
	c.agents = append(c.agents, n)
	return n
}

func (c *cluster) addRelay(n *node) {
	if !c.config.relayed {
		return
	}
	r, err := relay.Start("127.0.0.1:0", n.link)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { r.Close() })
	n.relay = r
}

// advertised returns the link address that other processes connect to.
func (n *node) advertised() string {
	if n.relay != nil {
		return n.relay.Address()
	}
	return n.link
}

func (c *cluster) peers(except *node) string {
	var out []string
	for _, e := range c.entries {
		if e != except {
			out = append(out, fmt.Sprintf("%q", e.advertised()))
		}
	}
	return strings.Join(out, ", ")
}

func (c *cluster) settings(n *node) (role, text string) {
	common := fmt.Sprintf("Instance = %q\nDataCentre = \"dc-a\"\nRegion = \"region\"\nLinkListen = %q\nAdvertise = %q\nPlatform = %q\nPeers = [%s]\n",
		n.name, n.link, n.advertised(), c.platformURL, c.peers(n))
	if n.target == "" {
		return "entry", common + fmt.Sprintf("Listen = %q\nOperatorListen = %q\nBalancerLag = \"500ms\"\n%s\n[OperatorKeyHashes]\nalice = %q\nbob = %q\n",
			n.listen, n.operator, c.config.extraEntry, hash(operatorKey), hash(operatorKey+"-bob"))
	}
	kind := "Engine"
	if n.stage < 0 {
		kind = "Service"
	}
	return "agent", common + fmt.Sprintf("Target = %q\nOpsListen = %q\n%s = %q\n%s\n", n.target, n.operator, kind, n.standinURL, c.config.extraAgent)
}

func (c *cluster) startNode(n *node) {
	c.t.Helper()
	role, text := c.settings(n)
	file := filepath.Join(c.dir, n.name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	n.proc = start(c.t, n.name, "shallotcourse", role, "--config", file)
}

func (c *cluster) client(entry int) *clnt.Client {
	return clnt.New([]string{"http://" + c.entries[entry].operator}, operatorKey)
}

func (c *cluster) layers(stage int) resrc.LayerRange {
	return resrc.LayerRange{From: stage * modelLayers / c.config.stages, To: (stage + 1) * modelLayers / c.config.stages}
}

func (c *cluster) targetSpec(n *node) resrc.Target {
	t := resrc.Target{DataCentre: "dc-a", Region: "region", Agent: n.advertised(), ChecksFencing: !c.config.ignoreFence}
	if n.stage < 0 {
		t.Service = serviceName
		return t
	}
	t.Accelerator, t.Version, t.Layers = n.kind.name, versionName, c.layers(n.stage)
	return t
}

func (c *cluster) putResources() {
	c.t.Helper()
	c.put(resrc.Resource{Kind: resrc.KindModel, Name: modelName, Spec: resrc.Model{Version: versionName, MaxTokens: 4096}})
	c.put(resrc.Resource{Kind: resrc.KindModelVersion, Name: versionName, Spec: resrc.ModelVersion{Model: modelName, Layers: modelLayers}})
	c.put(resrc.Resource{Kind: resrc.KindService, Name: serviceName, Spec: resrc.Service{
		Rules: []resrc.Rule{{Method: "GET", PathPrefix: "/", Repeatable: true}}, Timeout: resrc.Duration(5 * time.Second),
	}})
	c.put(resrc.Resource{Kind: resrc.KindClientAccount, Name: "registry", Spec: resrc.ClientAccount{
		KeyHashes: []string{hash(callerKey)}, Weight: 1, RequestsPerSecond: 10000, Burst: 10000, Concurrency: 10000,
	}})
	for _, a := range c.config.accounts {
		c.put(resrc.Resource{Kind: resrc.KindClientAccount, Name: a.name, Spec: resrc.ClientAccount{
			KeyHashes: []string{hash(a.name)}, Weight: a.weight, RequestsPerSecond: 10000, Burst: 10000, Concurrency: 10000,
		}})
	}
	for _, a := range c.agents {
		c.put(resrc.Resource{Kind: resrc.KindTarget, Name: a.target, Spec: c.targetSpec(a)})
	}
}

func (c *cluster) put(r resrc.Resource) resrc.Change {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	change, err := c.client(0).Put(ctx, r, "")
	if err != nil {
		c.t.Fatalf("put %s %s: %v", r.Kind, r.Name, err)
	}
	return change
}

// awaitServing waits until every entry answers a model request and a call.
func (c *cluster) awaitServing() {
	c.t.Helper()
	for i := range c.entries {
		if c.config.stages > 0 {
			eventually(c.t, startTimeout, "first answer", func() error {
				a := c.sendCompletion(i, request{prompt: "hello", tokens: 2, seed: 1})
				return a.problem()
			})
		}
		if c.config.services > 0 {
			eventually(c.t, startTimeout, "first call", func() error {
				r := c.sendCall(i, "GET", "/stock/1", "", "")
				if r.status != http.StatusOK {
					return fmt.Errorf("status %d, %v: %s", r.status, r.err, r.body)
				}
				return nil
			})
		}
	}
}

// setFaults sets the fault switches of a simulated platform, engine or service.
// Switches that are left out are reset.
func (c *cluster) setFaults(url string, switches any) {
	c.t.Helper()
	body, err := json.Marshal(switches)
	if err != nil {
		c.t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPut, url+"/faults", bytes.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		c.t.Fatalf("%s/faults: status %d", url, resp.StatusCode)
	}
}

func (c *cluster) getJSON(url string, v any) {
	c.t.Helper()
	resp, err := c.http.Get(url)
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(v); err != nil {
		c.t.Fatalf("%s: %v", url, err)
	}
}

// agentsOf returns the agents of a stage.
func (c *cluster) agentsOf(stage int) []*node {
	var out []*node
	for _, a := range c.agents {
		if a.stage == stage {
			out = append(out, a)
		}
	}
	return out
}
