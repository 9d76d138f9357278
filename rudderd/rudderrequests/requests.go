// Package rudderrequests implements the calls between entry hosts about model requests. Entry hosts read each
// other's answers and report to each other which requests ran on groups that died.
package rudderrequests

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"comfreyrudder.example/rudderd/rudderhttp"
	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/rudderd/rudderstream"
	"comfreyrudder.example/shared/rudderpeer"
)

const (
	// readWait is the longest time that a peer holds a read of an answer without a new token.
	readWait = 5 * time.Second
	// readSlack is added to readWait for the network round trip.
	readSlack = 2 * time.Second
	// broadcastTimeout bounds the broadcast of a death, because the next attempt of the request waits for it.
	broadcastTimeout = 300 * time.Millisecond
)

// Death is the death of a group while it ran a request. Age is the time since the death.
type Death struct {
	Fingerprint uint64
	Group       string
	Domain      string
	Age         time.Duration
	// Parts are the shared parts of the prompt, if the group failed right after it had begun the answer.
	Parts []string
}

// Peers calls other entry hosts and handles their calls. Set the exported fields before use.
type Peers struct {
	Self string
	// Members returns the registered entry hosts, including those that are shutting down, because they still
	// hold answers and run requests.
	Members    func() []ruddermember.Member
	HTTPClient *http.Client
	Answers    *rudderstream.Registry
	// OnDeaths is called with the deaths that another entry host reports.
	OnDeaths func(deaths []Death)
	// OnSoundParts is called with the parts of prompts on which another entry host has seen an answer begin.
	OnSoundParts func(parts []string)
}

// Handler returns the twirp handler for calls from other entry hosts.
func (p *Peers) Handler() rudderpeer.TwirpServer {
	return rudderpeer.NewRequestsServer(p)
}

func (p *Peers) client(m ruddermember.Member) rudderpeer.Requests {
	return rudderpeer.NewRequestsProtobufClient("http://"+m.PeerAddress, p.HTTPClient)
}

// ReadAnswer implements the RPC of the twirp service Requests. It waits for a token, for at most readWait.
func (p *Peers) ReadAnswer(ctx context.Context, request *rudderpeer.ReadAnswerRequest) (*rudderpeer.ReadAnswerResponse, error) {
	answer, found := p.Answers.Find(request.GetRequestId())
	if !found || answer.Workspace() != request.GetWorkspace() {
		return nil, twirp.NotFoundError("no such answer")
	}
	wait := min(readWait, time.Duration(request.GetWaitMs())*time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	defer answer.AddReader(time.Now)()
	response := &rudderpeer.ReadAnswerResponse{Model: answer.Model(), CreatedUnix: answer.Created().Unix()}
	page, err := answer.Read(ctx, int(request.GetAfter()))
	if err != nil {
		return response, nil //nolint:nilerr // no token arrived within the wait
	}
	response.Tokens, response.Done = page.Tokens, page.Done
	if page.Done {
		response.Outcome, response.Code, response.Message = string(page.Result.Outcome), page.Result.Code, page.Result.Message
		response.RetryAfterMs = page.Result.RetryAfter.Milliseconds()
		response.FinishReason, response.PromptTokens = page.Result.FinishReason, int32(page.Result.PromptTokens)
	}
	return response, nil
}

// ReadRemote reads an answer from the named member, which waits up to readWait for a token. found is false when
// the member is unknown or unreachable, or has no such answer.
func (p *Peers) ReadRemote(ctx context.Context, member, requestID, workspace string, after int) (page rudderhttp.RemotePage, found bool) {
	for _, m := range p.Members() {
		if m.Name != member {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, readWait+readSlack)
		defer cancel()
		response, err := p.client(m).ReadAnswer(ctx, &rudderpeer.ReadAnswerRequest{
			RequestId: requestID, Workspace: workspace, After: int32(after), WaitMs: readWait.Milliseconds(),
		})
		if err != nil {
			return rudderhttp.RemotePage{}, false
		}
		return pageOf(response), true
	}
	return rudderhttp.RemotePage{}, false
}

func pageOf(response *rudderpeer.ReadAnswerResponse) rudderhttp.RemotePage {
	return rudderhttp.RemotePage{
		Model:   response.GetModel(),
		Created: time.Unix(response.GetCreatedUnix(), 0),
		Page: rudderstream.Page{
			Tokens: response.GetTokens(),
			Done:   response.GetDone(),
			Result: rudderstream.Result{
				Outcome: rudderstream.Outcome(response.GetOutcome()), Code: response.GetCode(), Message: response.GetMessage(),
				RetryAfter:   time.Duration(response.GetRetryAfterMs()) * time.Millisecond,
				FinishReason: response.GetFinishReason(), PromptTokens: int(response.GetPromptTokens()),
			},
		},
	}
}

// ReportDeaths implements the RPC of the twirp service Requests.
func (p *Peers) ReportDeaths(_ context.Context, request *rudderpeer.ReportDeathsRequest) (*rudderpeer.ReportDeathsResponse, error) {
	deaths := make([]Death, 0, len(request.GetDeaths()))
	for _, d := range request.GetDeaths() {
		deaths = append(deaths, Death{
			Fingerprint: d.GetFingerprint(), Group: d.GetGroup(), Domain: d.GetDomain(), Parts: d.GetParts(),
			Age: time.Duration(d.GetAgeMs()) * time.Millisecond,
		})
	}
	if len(deaths) > 0 {
		p.OnDeaths(deaths)
	}
	if parts := request.GetSoundParts(); len(parts) > 0 {
		p.OnSoundParts(parts)
	}
	return &rudderpeer.ReportDeathsResponse{}, nil
}

// BroadcastDeath reports a death to all other entry hosts. It returns when all have responded, or after
// broadcastTimeout. Deaths are rare, about 20 hosts per day at 330 entry hosts, so one call per entry host is
// affordable.
func (p *Peers) BroadcastDeath(ctx context.Context, death Death) {
	p.broadcast(ctx, &rudderpeer.ReportDeathsRequest{Reporter: p.Self, Deaths: []*rudderpeer.Death{{
		Fingerprint: death.Fingerprint, Group: death.Group, Domain: death.Domain, AgeMs: death.Age.Milliseconds(), Parts: death.Parts,
	}}})
}

// BroadcastSoundParts reports to all other entry hosts that answers begin on parts of prompts which were suspected.
func (p *Peers) BroadcastSoundParts(ctx context.Context, parts []string) {
	p.broadcast(ctx, &rudderpeer.ReportDeathsRequest{Reporter: p.Self, SoundParts: parts})
}

func (p *Peers) broadcast(ctx context.Context, request *rudderpeer.ReportDeathsRequest) {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range p.Members() {
		if m.Name == p.Self {
			continue
		}
		wg.Go(func() { _, _ = p.client(m).ReportDeaths(ctx, request) })
	}
	wg.Wait()
}
