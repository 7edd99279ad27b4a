/**
 * The header fields that this system adds to HTTP messages, in lower case.
 */
export const HeaderName = {
	/** To an upstream: the fence number of the grant that the request goes under. */
	fence: 'dogwooddeck-fence',
	/** To an upstream: the milliseconds that are left for the request. */
	deadline: 'dogwooddeck-deadline',
	/** To an upstream: the slot that the key belongs to. */
	slot: 'dogwooddeck-slot',
	/** To a caller: whether the request ran. */
	outcome: 'dogwooddeck-outcome',
	/** From a caller: names the operation, so that it runs at most once. */
	idempotencyKey: 'idempotency-key',
	/** To an operator: the revision that an answer was read at. */
	revision: 'dogwooddeck-revision',
} as const;
