/**
 * Memoization of values that are computed from immutable state and read often.
 * State is never changed in place, so the same object always yields the same value.
 */

/** Returns a function that caches the result for each state object until the object is garbage-collected. */
export function memoize<State extends object, Value>(compute: (state: State) => Value): (state: State) => Value {
	const cache = new WeakMap<State, {readonly value: Value}>();
	return state => {
		const cached = cache.get(state) ?? {value: compute(state)};
		cache.set(state, cached);
		return cached.value;
	};
}
