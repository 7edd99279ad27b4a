/**
 * A service's budget of retries: a share of its first attempts.
 */
import {type Transition} from '@dogwooddeck/model/transition';

/** What is left to spend, in retries. */
export type RetryBudget = {
	readonly ratio: number;
	readonly balance: number;
	/** The retries that may be saved up. */
	readonly largest: number;
};

/** What changes a budget. */
export type RetryBudgetEvent = {readonly kind: 'first-attempt'} | {readonly kind: 'retry'};

/** The retries that a quiet service may save up, so that its first failures can be sent again. */
const largestBalance = 10;

/** A full budget. */
export function createRetryBudget(ratio: number, largest = largestBalance): RetryBudget {
	return {ratio, balance: largest, largest};
}

/** The same budget with another bound on what may be saved up. */
export function boundBudget(budget: RetryBudget, largest: number): RetryBudget {
	return {...budget, largest, balance: Math.min(budget.balance, largest)};
}

/** Whether a retry may be drawn. */
export function allowsRetry(budget: RetryBudget): boolean {
	return budget.balance >= 1;
}

/** Books a first attempt or a retry. */
export function recordAttempt(budget: RetryBudget, event: RetryBudgetEvent): Transition<RetryBudget, never> {
	const change = event.kind === 'retry' ? -1 : budget.ratio;
	return {state: {...budget, balance: Math.min(budget.largest, budget.balance + change)}, effects: []};
}
