/**
 * The form of every decision: a state machine takes a state and an event and
 * returns the next state and the effects for the edge to carry out.
 */

/** What one event changes and what it asks the edge to do. */
export type Transition<State, Effect> = {
	readonly state: State;
	readonly effects: readonly Effect[];
};

/** Anything that a lookup table of handlers can be keyed by. */
export type Kinded = {readonly kind: string};

/** A lookup table with one handler for each kind of a union of messages. */
export type HandlerTable<Message extends Kinded, Parameters extends readonly unknown[], Returned> = {
	readonly [Kind in Message['kind']]: (message: Extract<Message, {readonly kind: Kind}>, ...parameters: Parameters) => Returned;
};

/** Calls the handler that a table holds for the kind of a message. */
export function dispatch<Message extends Kinded, Parameters extends readonly unknown[], Returned>(
	table: HandlerTable<Message, Parameters, Returned>,
	message: Message,
	...parameters: Parameters
): Returned {
	const handler = table[message.kind as Message['kind']] as (message: Message, ...parameters: Parameters) => Returned;
	return handler(message, ...parameters);
}
