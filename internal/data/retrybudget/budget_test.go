package retrybudget

import "testing"

func TestServicesHaveSeparateBudgets(t *testing.T) {
	budgets := NewByService(0.5, 10)
	for range 4 {
		budgets.Deposit("chat", 2)
	}
	if budgets.TryWithdraw("search", 2) {
		t.Error("a service without requests has a retry")
	}
	for range 2 {
		if !budgets.TryWithdraw("chat", 2) {
			t.Fatal("four requests don't pay for two retries")
		}
	}
	if budgets.TryWithdraw("chat", 2) {
		t.Error("four requests pay for three retries")
	}
}

func TestSharedBudgetSavesOneNodesShare(t *testing.T) {
	for nodes, want := range map[int]int{1: 10, 2: 5, 100: 1} {
		budget := New(1, 10)
		for range 50 {
			budget.Deposit(nodes)
		}
		granted := 0
		for budget.TryWithdraw(nodes) {
			granted++
		}
		if granted != want {
			t.Errorf("%d nodes: %d retries of an allowance of 10, want %d", nodes, granted, want)
		}
	}
}
