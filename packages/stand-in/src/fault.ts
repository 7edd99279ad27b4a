/**
 * The faults that a stand-in upstream can be told to show.
 */
import {type Milliseconds} from '@dogwooddeck/model/identifiers';

/** What a stand-in upstream does to a request. */
export const Fault = {
	/** It runs the request and answers whole. */
	none: 'none',
	/** It takes no connection. */
	refuse: 'refuse',
	/** It answers 503 with `Retry-After` and does not run the request. */
	shed: 'shed',
	/** It reads the request and never answers; it does not run it. */
	stall: 'stall',
	/** It runs the request and never answers. */
	runAndStall: 'run-and-stall',
	/** It resets the connection when a connection comes. */
	resetOnConnect: 'reset-on-connect',
	/** It resets the connection when the request was read, without running it. */
	resetBeforeRun: 'reset-before-run',
	/** It runs the request, then resets the connection. */
	resetAfterRun: 'reset-after-run',
	/** It runs the request, then closes the connection without an answer. */
	closeAfterRun: 'close-after-run',
	/** It runs the request and ends an answer with a length early. */
	cutLength: 'cut-length',
	/** It runs the request and ends an answer in chunks early. */
	cutChunks: 'cut-chunks',
	/** It runs the request and answers after a delay. */
	late: 'late',
	/** It runs the request and answers with neither length nor chunks. */
	unbounded: 'unbounded',
	/** The same, but the body is cut. */
	unboundedCut: 'unbounded-cut',
	/** It answers whole and closes the kept connection right after it. */
	closeIdle: 'close-idle',
} as const;

/** One of the faults. */
export type Fault = (typeof Fault)[keyof typeof Fault];

/** An order for faults. */
export type FaultOrder = {
	readonly fault: Fault;
	/** For how many requests; with `refuse` and `resetOnConnect` it holds until the next order. Absent: until the next order. */
	readonly requests?: number;
	/** With `late`: how late. */
	readonly delayMilliseconds?: Milliseconds;
	/** With `refuse`, ordered from outside: how long. */
	readonly forMilliseconds?: Milliseconds;
};

/** No fault. */
export const noFault: FaultOrder = {fault: Fault.none};

/** Reads an order that came as JSON. */
export function readFaultOrder(text: string): FaultOrder | undefined {
	try {
		const order = JSON.parse(text) as FaultOrder;
		return Object.values(Fault).includes(order.fault) ? order : undefined;
	} catch {
		return undefined;
	}
}
