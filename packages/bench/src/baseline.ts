/**
 * Ways of placement from the literature, to compare with on the same traces.
 * Each says who should own a slot; whatever differs is moved at once.
 */
import {AssignmentPhase} from '@dogwooddeck/model/assignment';
import {sameUpstream, type Slot, type UpstreamIdentity} from '@dogwooddeck/model/identifiers';
import {identityOf, UpstreamPhase} from '@dogwooddeck/model/registry';
import {type SlotHash} from '@dogwooddeck/placement/hash';
import {type PlacementInput} from '@dogwooddeck/placement/input';
import {MoveReason, type PlacementPlan, type PlannedMove} from '@dogwooddeck/placement/proposal';

/** The owner of each slot, by slot. */
export type Layout = readonly UpstreamIdentity[];

/** Lays out all slots over the upstreams that may own them. */
export type Layouter = (input: PlacementInput, owners: readonly UpstreamIdentity[]) => Layout;

/** Points that an upstream has on the ring. */
const pointsOnRing = 64;
/** No upstream has more than this multiple of the mean. */
export const loadBound = 1.25;
const wholeRange = 2 ** 32;

function slotsOf(input: PlacementInput): readonly Slot[] {
	return Array.from({length: input.contract.slots}, (_, slot) => slot);
}

/** The slot's number modulo the number of upstreams. */
export const layoutModulo: Layouter = (input, owners) => slotsOf(input).map(slot => owners[slot % owners.length]!);

/** The upstream with the greatest hash of its name and the slot. */
export function createRendezvous(hash: SlotHash): Layouter {
	const known = new Map<string, readonly number[]>();
	const weightsOf = (input: PlacementInput, {name}: UpstreamIdentity) => {
		const weights = known.get(name) ?? slotsOf(input).map(slot => hash(`${slot}/${name}`, wholeRange));
		known.set(name, weights);
		return weights;
	};

	return (input, owners) => {
		const weights = owners.map(owner => weightsOf(input, owner));
		return slotsOf(input).map(slot => {
			const highest = Math.max(...weights.map(bySlot => bySlot[slot]!));
			return owners[weights.findIndex(bySlot => bySlot[slot] === highest)]!;
		});
	};
}

function ringOf(hash: SlotHash, owners: readonly UpstreamIdentity[]): ReadonlyArray<{readonly point: number; readonly owner: number}> {
	return owners
		.flatMap(({name}, owner) => Array.from({length: pointsOnRing}, (_, number) => ({point: hash(`${name}#${number}`, wholeRange), owner})))
		.toSorted((one, other) => one.point - other.point);
}

/** The next upstream on the ring that stays within the bound of load. */
export function createBounded(hash: SlotHash): Layouter {
	return (input, owners) => {
		const ring = ringOf(hash, owners);
		const total = Object.values(input.loads.slots).reduce((sum, rate) => sum + rate, 0);
		const weightOf = (slot: Slot) => (total === 0 ? 1 / input.contract.slots : (input.loads.slots[slot] ?? 0) / total);
		const loads = owners.map(() => 0);
		const layout: UpstreamIdentity[] = [];
		for (const slot of slotsOf(input)) {
			const point = hash(`slot ${slot}`, wholeRange);
			const first = Math.max(0, ring.findIndex(entry => entry.point >= point));
			const around = [...ring.slice(first), ...ring.slice(0, first)];
			const chosen = around.find(entry => loads[entry.owner]! + weightOf(slot) <= loadBound / owners.length) ?? around[0]!;
			loads[chosen.owner]! += weightOf(slot);
			layout.push(owners[chosen.owner]!);
		}

		return layout;
	};
}

function reasonFor(input: PlacementInput, owner: UpstreamIdentity): MoveReason {
	const record = input.upstreams.find(upstream => sameUpstream(identityOf(upstream.record), owner))?.record;
	if (record === undefined || record.phase === UpstreamPhase.lost) {
		return MoveReason.lost;
	}

	return record.phase === UpstreamPhase.leaving ? MoveReason.leaving : MoveReason.balance;
}

/** Makes a plan of what differs from a layout. Where the layout's owner can't be reached, a vacant slot goes to any that can. */
export function planLayout(input: PlacementInput, layout: Layout): PlacementPlan {
	const reachable = input.upstreams
		.filter(({record}) => record.phase === UpstreamPhase.serving && !input.unreachableZones.includes(record.zone))
		.map(({record}) => identityOf(record));
	const grants = input.assignments.assignments.filter(({phase}) => phase === AssignmentPhase.vacant).flatMap(({slot}) => {
		const wanted = layout[slot];
		const owner = reachable.find(identity => wanted !== undefined && sameUpstream(identity, wanted)) ?? reachable[slot % reachable.length];
		return owner === undefined ? [] : [{slot, owner}];
	});
	const moves = input.assignments.assignments.flatMap((assignment): PlannedMove[] => {
		const to = layout[assignment.slot];
		const isMoved = assignment.phase === AssignmentPhase.granted && to !== undefined && !sameUpstream(assignment.owner, to);
		return isMoved
			? [{
				slot: assignment.slot, from: assignment.owner, to, reason: reasonFor(input, assignment.owner),
			}]
			: [];
	});
	return {
		grants, moves, pins: [], unpins: [], state: input.state,
	};
}
