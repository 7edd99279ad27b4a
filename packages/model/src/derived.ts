/**
 * What is derived from state and asked for often. State is never changed in
 * place, so that the same object always gives the same answer.
 */

/** The function with its last answer for each object kept for as long as the object lives. */
export function memoize<State extends object, Answer>(derive: (state: State) => Answer): (state: State) => Answer {
	const answers = new WeakMap<State, {readonly answer: Answer}>();
	return state => {
		const kept = answers.get(state) ?? {answer: derive(state)};
		answers.set(state, kept);
		return kept.answer;
	};
}
