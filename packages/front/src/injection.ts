/**
 * Nest injection tokens for the APIs that the controllers depend on.
 */
export const healthApiToken = Symbol('health API');

/** The injection token of the operator API. */
export const operatorApiToken = Symbol('operator API');
