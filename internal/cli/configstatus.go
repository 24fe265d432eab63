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

// memberSettingsStatus is what a member reports of the shared configuration, or why it does not.
type memberSettingsStatus struct {
	daemon.SettingsStatus
	Error string `json:"error,omitempty"`
}

// serves tells whether the member is known to serve by the latest version.
func (s *memberSettingsStatus) serves() bool { return s.Error == "" && s.Applied == s.Latest }

func (o *options) configStatusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Say by which version each node serves, and why one does not take on the latest",
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
	allServe := true
	for _, member := range members {
		status := fetchMemberStatus(ctx, client, member)
		allServe = allServe && status.serves()
		all = append(all, status)
	}
	if err := o.print(all, func() { o.writeMemberStatus(all) }); err != nil {
		return err
	}
	if !allServe {
		return exitError{Failed, errors.New("not all nodes serve by the latest version")}
	}
	return nil
}

// members are those of the store that the operator's file has; without any, one whose daemon the flags name.
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

// fetchMemberStatus asks a member's control interface; own answers for a member without an address.
func fetchMemberStatus(ctx context.Context, own *control.Client, member config.Member) memberSettingsStatus {
	client := own
	if member.ControlAddress != "" {
		client = own.WithAddress(member.ControlAddress)
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
