/**
 * Retry budget of a service: a token bucket that every first attempt refills by
 * a fixed ratio and every retry draws one token from.
 */
import {type Transition} from '@dogwooddeck/model/transition';

/** The state of a budget, in retries. */
export type RetryBudget = {
	readonly ratio: number;
	readonly balance: number;
	/** The most retries that can accumulate. */
	readonly capacity: number;
};

/** An attempt that changes the budget. */
export type RetryBudgetEvent = {readonly kind: 'first-attempt'} | {readonly kind: 'retry'};

/** The retries that an idle service accumulates at most, so that its first failures can be retried. */
const defaultCapacity = 10;

/** Creates a full budget. */
export function createRetryBudget(ratio: number, capacity = defaultCapacity): RetryBudget {
	return {ratio, balance: capacity, capacity};
}

/** Returns the budget with another capacity; a balance above it is lowered to it. */
export function withCapacity(budget: RetryBudget, capacity: number): RetryBudget {
	return {...budget, capacity, balance: Math.min(budget.balance, capacity)};
}

/** Whether the budget covers one more retry. */
export function allowsRetry(budget: RetryBudget): boolean {
	return budget.balance >= 1;
}

/** Charges the budget for a retry, or credits it for a first attempt. */
export function recordAttempt(budget: RetryBudget, event: RetryBudgetEvent): Transition<RetryBudget, never> {
	const change = event.kind === 'retry' ? -1 : budget.ratio;
	return {state: {...budget, balance: Math.min(budget.capacity, budget.balance + change)}, effects: []};
}
