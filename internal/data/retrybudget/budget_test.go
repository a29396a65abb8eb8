package retrybudget

import "testing"

func TestServicesHaveSeparateBudgets(t *testing.T) {
	budgets := NewByService(0.5, 10)
	for range 4 {
		budgets.Deposit("chat", 2)
	}
	if budgets.TryWithdraw("search", 2) {
		t.Error("TryWithdraw for a service without requests: got true, want false")
	}
	for range 2 {
		if !budgets.TryWithdraw("chat", 2) {
			t.Fatal("TryWithdraw for one of two retries after four requests with ratio 0.5: got false, want true")
		}
	}
	if budgets.TryWithdraw("chat", 2) {
		t.Error("TryWithdraw for a third retry after four requests with ratio 0.5: got true, want false")
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
			t.Errorf("retries granted by one of %d nodes that share an allowance of 10: got %d, want %d", nodes, granted, want)
		}
	}
}
