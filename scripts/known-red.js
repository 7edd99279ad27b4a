/** The tests that KNOWN-RED.txt names, and the runner's pattern that passes over just these. */

/** Gives the names that stand in the text of KNOWN-RED.txt. */
export function knownRed(text) {
	return text.split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim());
}

/**
 * Gives the arguments of Node's test runner that pass over the named tests. A
 * test also runs where its parent's name matches, so the root must not match.
 */
export function passingOver(names) {
	if (names.length === 0) {
		return [];
	}

	const escaped = names.map(name => name.replaceAll(/[$\(\)*+.?\[\\\]^\{\|\}\/]/gv, String.raw`\$&`));
	return [`--test-name-pattern=/^(?!(?:<root>|${escaped.join('|')})$)./`];
}
