package result

import (
	"fmt"
	"strings"
)

// Reference returns the page docs/RESULTS.md, made from the registry.
func Reference() string {
	var page strings.Builder
	page.WriteString("# Result codes\n\n")
	page.WriteString("This page is made from the registry in package result by `.ci/pages`. Each answer carries its code in the header Hickoryhead-Result and, where it is not a success, in the JSON error body.\n\n")
	page.WriteString("| code | name | status | outcome | elsewhere | title | what it means |\n")
	page.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, entry := range entries {
		fmt.Fprintf(&page, "| %s | %s | %d | %s | %t | %s | %s |\n", entry.Code, entry.Name, entry.Status, entry.Outcome, entry.RetryOnAnother, entry.Title, entry.Text)
	}
	return page.String()
}
