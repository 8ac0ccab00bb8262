// budget-paused without its troubles: what the budgets alone cost.
(import 'budget-paused.jsonnet') { steps: [], expect+: { served: 0.9 } }
