/**
 * Types for state machines and tables of handlers. A state machine maps a state
 * and an event to the next state and the effects that its caller carries out.
 */

/** The result of handling one event: the next state, and the effects to carry out. */
export type Transition<State, Effect> = {
	readonly state: State;
	readonly effects: readonly Effect[];
};

/** A member of a union that is discriminated by `kind`. */
export type Discriminated = {readonly kind: string};

/** A lookup table with one handler for each kind in a union of messages. */
export type HandlerTable<Message extends Discriminated, Parameters extends readonly unknown[], Returned> = {
	readonly [Kind in Message['kind']]: (message: Extract<Message, {readonly kind: Kind}>, ...parameters: Parameters) => Returned;
};

/** Calls the handler for the kind of a message. */
export function dispatch<Message extends Discriminated, Parameters extends readonly unknown[], Returned>(
	table: HandlerTable<Message, Parameters, Returned>,
	message: Message,
	...parameters: Parameters
): Returned {
	const handler = table[message.kind as Message['kind']] as (message: Message, ...parameters: Parameters) => Returned;
	return handler(message, ...parameters);
}
