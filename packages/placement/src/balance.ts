/**
 * Optional moves that bring the loads of upstreams nearer to each other,
 * within the budget and with hysteresis.
 */
import {AssignmentPhase} from '@dogwooddeck/model/assignment';
import {type Slot} from '@dogwooddeck/model/identifiers';
import {
	type Book, cheapest, countOf, put, rateOf, scoreOf, scoreWith, type Shelf, take,
} from './book.js';
import {idleMoveCost} from './budget.js';
import {type PlacementInput, type PlacementState} from './input.js';
import {type PlacementPolicy} from './policy.js';
import {MoveReason, type PlannedMove} from './proposal.js';

type Candidate = {
	readonly slot: Slot;
	readonly from: Shelf;
	readonly to: Shelf;
	/** By how much the greater of the two scores goes down. */
	readonly gain: number;
};

/** The moves, and the budget that is left. */
export type BalancePlan = {
	readonly moves: readonly PlannedMove[];
	readonly state: PlacementState;
};

function mostLoaded(book: Book): Shelf | undefined {
	return book.shelves.reduce<Shelf | undefined>((most, shelf) => (most === undefined || scoreOf(book, shelf) > scoreOf(book, most) ? shelf : most), undefined);
}

function grantedSlots(input: PlacementInput): ReadonlySet<Slot> {
	return new Set(input.assignments.assignments.filter(({phase}) => phase === AssignmentPhase.granted).map(({slot}) => slot));
}

function gainOf(book: Book, from: Shelf, to: Shelf, slot: Slot): number {
	const after = Math.max(scoreOf(book, from, -rateOf(book.input, slot), -countOf(book, slot)), scoreWith(book, to, slot));
	return scoreOf(book, from) - after;
}

function bestCandidate(book: Book, from: Shelf, movable: ReadonlySet<Slot>): Candidate | undefined {
	let best: Candidate | undefined;
	for (const slot of [...from.slots].filter(slot => movable.has(slot)).sort((one, other) => one - other)) {
		const to = cheapest(book, slot, from);
		const gain = to === undefined ? 0 : gainOf(book, from, to, slot);
		if (to !== undefined && gain > (best?.gain ?? 0)) {
			best = {
				slot, from, to, gain,
			};
		}
	}

	return best;
}

function costOf(book: Book, slot: Slot): number {
	return rateOf(book.input, slot) > 0 ? 1 : idleMoveCost;
}

/** Plans optional moves. The table must hold the outcome of all others. */
export function planBalance(input: PlacementInput, book: Book, policy: PlacementPolicy, state: PlacementState): BalancePlan {
	const movable = new Set(grantedSlots(input));
	const moves: PlannedMove[] = [];
	let {tokens, isBalancing} = state;
	let underWay = input.assignments.assignments.filter(({phase}) => phase === AssignmentPhase.revoking).length;
	for (;;) {
		const from = mostLoaded(book);
		const score = from === undefined ? 0 : scoreOf(book, from);
		isBalancing = score > (isBalancing ? policy.balanceTarget : policy.balanceTrigger);
		const candidate = from !== undefined && isBalancing ? bestCandidate(book, from, movable) : undefined;
		if (candidate === undefined || candidate.gain < policy.leastGain || underWay >= policy.movesAtOnce || tokens < costOf(book, candidate.slot)) {
			return {moves, state: {...state, tokens, isBalancing}};
		}

		tokens -= costOf(book, candidate.slot);
		underWay += costOf(book, candidate.slot);
		movable.delete(candidate.slot);
		take(book, candidate.from, candidate.slot);
		put(book, candidate.to, candidate.slot);
		moves.push({
			slot: candidate.slot, from: candidate.from.identity, to: candidate.to.identity, reason: MoveReason.balance,
		});
	}
}
