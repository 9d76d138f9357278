// Package rudderrequests is the peer adapter for model requests: entry hosts read each other's answers
// and share which requests killed groups.
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
	// readWait is how long a peer may hold a read of an answer that has no new token.
	readWait = 5 * time.Second
	// readSlack is added to readWait for the way there and back.
	readSlack = 2 * time.Second
	// shareTimeout bounds the broadcast of a death, since the next attempt waits for it.
	shareTimeout = 300 * time.Millisecond
)

// Death is the loss of a group while a request ran on it.
type Death struct {
	Fingerprint uint64
	Group       string
	Domain      string
	Age         time.Duration
}

// Peers calls other entry hosts and serves their calls. Set the exported fields before use.
type Peers struct {
	Self string
	// Members lists the registered entry hosts: one that leaves still keeps answers and runs requests.
	Members    func() []ruddermember.Member
	HTTPClient *http.Client
	Answers    *rudderstream.Registry
	// OnDeaths takes deaths that another entry host reports.
	OnDeaths func(deaths []Death)
}

// Handler serves the calls of other entry hosts.
func (p *Peers) Handler() rudderpeer.TwirpServer {
	return rudderpeer.NewRequestsServer(p)
}

func (p *Peers) client(m ruddermember.Member) rudderpeer.Requests {
	return rudderpeer.NewRequestsProtobufClient("http://"+m.PeerAddress, p.HTTPClient)
}

// ReadAnswer implements the twirp service.
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
		return response, nil //nolint:nilerr // the wait passed without a token
	}
	response.Tokens, response.Done = page.Tokens, page.Done
	if page.Done {
		response.Outcome, response.Code, response.Message = string(page.Result.Outcome), page.Result.Code, page.Result.Message
		response.RetryAfterMs = page.Result.RetryAfter.Milliseconds()
		response.FinishReason, response.PromptTokens = page.Result.FinishReason, int32(page.Result.PromptTokens)
	}
	return response, nil
}

// ReadRemote reads an answer that the named member keeps, waiting a while for a token. found is false
// when the member is unknown, cannot be reached or has no such answer.
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

// ReportDeaths implements the twirp service.
func (p *Peers) ReportDeaths(_ context.Context, request *rudderpeer.ReportDeathsRequest) (*rudderpeer.ReportDeathsResponse, error) {
	deaths := make([]Death, 0, len(request.GetDeaths()))
	for _, d := range request.GetDeaths() {
		deaths = append(deaths, Death{
			Fingerprint: d.GetFingerprint(), Group: d.GetGroup(), Domain: d.GetDomain(),
			Age: time.Duration(d.GetAgeMs()) * time.Millisecond,
		})
	}
	p.OnDeaths(deaths)
	return &rudderpeer.ReportDeathsResponse{}, nil
}

// BroadcastDeath tells all other entry hosts of a death and returns when they answered or the time is up.
// Deaths are rare (about 20 hosts a day at 330 entry hosts), so a call to each one is affordable.
func (p *Peers) BroadcastDeath(ctx context.Context, death Death) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	request := &rudderpeer.ReportDeathsRequest{Reporter: p.Self, Deaths: []*rudderpeer.Death{{
		Fingerprint: death.Fingerprint, Group: death.Group, Domain: death.Domain, AgeMs: death.Age.Milliseconds(),
	}}}
	var waiting sync.WaitGroup
	for _, m := range p.Members() {
		if m.Name == p.Self {
			continue
		}
		waiting.Go(func() { _, _ = p.client(m).ReportDeaths(ctx, request) })
	}
	waiting.Wait()
}
