import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {Importance} from '@dogwooddeck/model/contract';
import {
	type Admission, connectionsFor, createAdmission, AdmissionDecision, RequestCompletion, type Ticket,
} from '@dogwooddeck/routing/admission';

const seed = 20_261_204;

type TestTicket = Ticket & {state: 'new' | 'admitted' | 'refused'};

function ticketOf(importance: Importance = Importance.high, deadline = 1000): TestTicket {
	const ticket: TestTicket = {
		importance,
		deadline,
		state: 'new',
		admitted() {
			ticket.state = 'admitted';
		},
		refused() {
			ticket.state = 'refused';
		},
	};
	return ticket;
}

function enter(admission: Admission, ticket: Ticket, now = 0): string {
	const entered = admission.enter(ticket, now);
	return entered.isOk ? entered.value : entered.error.kind;
}

function admissionWithLatency(latency: number, slots = 1): Admission {
	const admission = createAdmission({slots, instances: 1, queueLength: 4});
	for (let count = 0; count < 100; count++) {
		enter(admission, ticketOf());
		admission.finish(RequestCompletion.answered, latency);
	}

	return admission;
}

test('admission: a released slot goes to the next ticket in order', () => {
	const admission = createAdmission({slots: 1, instances: 1, queueLength: 4});
	const [first, second, third] = [ticketOf(), ticketOf(), ticketOf()];
	assert.deepEqual([enter(admission, first), enter(admission, second), enter(admission, third)], [AdmissionDecision.admitted, AdmissionDecision.queued, AdmissionDecision.queued]);
	admission.leave(second);
	admission.finish(RequestCompletion.neutral, 1);
	assert.deepEqual([second.state, third.state, admission.underWay], ['new', 'admitted', 1]);
});

const deadlineCases = [
	{name: 'before its deadline', deadline: 1000, expected: AdmissionDecision.queued},
	{name: 'after its deadline', deadline: 199, expected: 'overloaded'},
];

for (const {name, deadline, expected} of deadlineCases) {
	test(`admission: a request that is expected to finish ${name}`, () => {
		const admission = admissionWithLatency(100);
		enter(admission, ticketOf());
		assert.equal(enter(admission, ticketOf(Importance.high, deadline)), expected);
	});
}

test('admission: low importance may fill half of the queue and is evicted first', () => {
	const admission = createAdmission({slots: 1, instances: 1, queueLength: 4});
	enter(admission, ticketOf());
	const low = [ticketOf(Importance.low), ticketOf(Importance.low), ticketOf(Importance.low)];
	assert.deepEqual(low.map(ticket => enter(admission, ticket)), [AdmissionDecision.queued, AdmissionDecision.queued, 'overloaded']);
	const high = [0, 1, 2, 3, 4].map(() => enter(admission, ticketOf()));
	assert.deepEqual(high, [AdmissionDecision.queued, AdmissionDecision.queued, AdmissionDecision.queued, AdmissionDecision.queued, 'overloaded']);
	assert.deepEqual(low.map(ticket => ticket.state), ['refused', 'refused', 'new']);
});

test('admission: the limit grows from the share to all slots, and shrinks to the share under overload', () => {
	const admission = createAdmission({slots: 18, instances: 9, queueLength: 4});
	const initial = admission.limit;
	for (let count = 0; count < 1000; count++) {
		enter(admission, ticketOf());
		admission.finish(RequestCompletion.answered, 1);
	}

	const grown = admission.limit;
	for (let count = 0; count < 10; count++) {
		enter(admission, ticketOf());
		admission.finish(RequestCompletion.strained, 1);
	}

	assert.deepEqual([initial, grown, admission.limit], [2, 18, 2]);
});

test('admission: requests in flight never exceed the limit, and no ticket is lost', () => {
	console.log(`admission: seed ${seed}`);
	fc.assert(fc.property(fc.array(fc.tuple(fc.constantFrom('enter', 'finish', 'strain', 'leave'), fc.nat({max: 20})), {maxLength: 200}), actions => {
		const admission = createAdmission({slots: 3, instances: 1, queueLength: 5});
		const waiting: TestTicket[] = [];
		for (const [kind, number] of actions) {
			const before = admission.underWay;
			if (kind === 'enter') {
				const ticket = ticketOf(number % 2 === 0 ? Importance.low : Importance.high);
				if (enter(admission, ticket) === AdmissionDecision.queued) {
					waiting.push(ticket);
				}
			} else if (kind === 'leave') {
				const [ticket] = waiting.splice(number % Math.max(1, waiting.length), 1);
				if (ticket !== undefined) {
					admission.leave(ticket);
				}
			} else if (before > 0) {
				admission.finish(kind === 'finish' ? RequestCompletion.answered : RequestCompletion.strained, number);
			}

			assert.ok(admission.underWay <= Math.max(3, before));
			assert.equal(admission.waiting, waiting.filter(ticket => ticket.state === 'new').length);
			assert.ok(admission.waiting === 0 || admission.underWay >= admission.limit, 'a ticket waits although a slot is free');
		}
	}), {seed});
});

const connectionCases = [
	{connections: 110, instances: 9},
	{connections: 110, instances: 110},
	{connections: 3, instances: 9},
	{connections: 110, instances: 890},
];

for (const {connections, instances} of connectionCases) {
	test(`admission: ${connections} connections shared by ${instances} instances`, () => {
		const parts = Array.from({length: instances}, (_, position) => connectionsFor(connections, instances, position));
		assert.equal(parts.reduce((sum, part) => sum + part, 0), connections);
		assert.ok(Math.max(...parts) - Math.min(...parts) <= 1);
	});
}
