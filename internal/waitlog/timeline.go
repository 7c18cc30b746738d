package waitlog

import (
	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// Timeline tells in plain sentences why a request waited, one line for each
// step.
func Timeline(r *apiv1.WaitRecord) []string {
	return nil
}
