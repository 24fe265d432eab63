package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"standpoint/internal/config"
	"standpoint/internal/control"
	"standpoint/internal/daemon"
)

// memberSettingsStatus is the status of the shared configuration at one member, or the error of the call for it.
type memberSettingsStatus struct {
	daemon.SettingsStatus
	Error string `json:"error,omitempty"`
}

// isCurrent reports whether the member responded and has applied the latest version that it knows.
func (s *memberSettingsStatus) isCurrent() bool { return s.Error == "" && s.Applied == s.Latest }

func (o *options) configStatusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the version that each node has applied, and why a node has not applied the latest",
		Args:  usageArgs(cobra.NoArgs),
		RunE:  func(c *cobra.Command, _ []string) error { return o.configStatus(c.Context()) },
	}
}

func (o *options) configStatus(ctx context.Context) error {
	members, err := o.members()
	if err != nil {
		return err
	}
	client, err := o.client()
	if err != nil {
		return err
	}
	defer client.Close()
	var all []memberSettingsStatus
	allCurrent := true
	for _, member := range members {
		status := fetchMemberStatus(ctx, client, member)
		allCurrent = allCurrent && status.isCurrent()
		all = append(all, status)
	}
	if err := o.print(all, func() { o.writeMemberStatus(all) }); err != nil {
		return err
	}
	if !allCurrent {
		return exitError{Failed, errors.New("not all nodes have applied the latest version")}
	}
	return nil
}

// members returns the store members of the operator's file. Without any it returns one empty member, which stands for
// the daemon that the flags select.
func (o *options) members() ([]config.Member, error) {
	if o.config == "" {
		return []config.Member{{}}, nil
	}
	cfg, err := config.ReadOperatorFile(o.config)
	if err != nil {
		return nil, exitError{InvalidUsage, err}
	}
	if len(cfg.Store.Members) == 0 {
		return []config.Member{{}}, nil
	}
	return cfg.Store.Members, nil
}

// fetchMemberStatus queries a member's control interface. localClient is used for a member without an address.
func fetchMemberStatus(ctx context.Context, localClient *control.Client, member config.Member) memberSettingsStatus {
	client := localClient
	if member.ControlAddress != "" {
		client = localClient.WithAddress(member.ControlAddress)
		defer client.Close()
	}
	var status memberSettingsStatus
	status.Node = member.ID
	if err := client.Call(ctx, http.MethodGet, "/v1/config", nil, &status.SettingsStatus); err != nil {
		status.Error = err.Error()
	}
	status.Version.Text = ""
	return status
}

func (o *options) writeMemberStatus(all []memberSettingsStatus) {
	o.writeTable("NODE\tLATEST\tSERVES BY\tWHY NOT", func(w io.Writer) {
		for _, s := range all {
			fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", s.Node, s.Latest, s.Applied, s.Rejected+s.Error)
		}
	})
}
