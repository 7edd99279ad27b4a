/**
 * The formatter and the linter: XO's rules, and above them the shape of the
 * code that the users ask for. Each rule that is off for the whole tree says why.
 */
const layers = {
	model: [],
	clock: ['model'],
	'loop-share': ['model', 'clock'],
	consensus: ['model'],
	ownership: ['model'],
	placement: ['model'],
	membership: ['model'],
	configuration: ['model'],
	limits: ['model'],
	room: ['model'],
	routing: ['model'],
	burn: ['model'],
	control: ['model', 'configuration', 'membership', 'ownership', 'placement', 'limits'],
	storage: ['model', 'consensus'],
	wire: ['model', 'consensus', 'ownership'],
	telemetry: ['model', 'clock'],
	'upstream-client': ['model', 'routing', 'loop-share'],
	front: ['model', 'routing', 'configuration', 'telemetry', 'burn', 'upstream-client'],
	// The tool checks what the server checks before a change is proposed: control's bound on the time to serve again.
	'control-tool': ['model', 'configuration', 'burn', 'control'],
	'key-lease': ['model'],
	directory: ['model', 'key-lease'],
	gateway: ['model', 'directory', 'key-lease', 'routing'],
	replica: ['model', 'clock', 'consensus', 'storage', 'telemetry'],
	mesh: ['model', 'consensus', 'directory', 'key-lease', 'room'],
	'control-node': ['model', 'clock', 'consensus', 'storage', 'telemetry', 'key-lease', 'directory', 'replica', 'mesh', 'room'],
	entry: ['model', 'clock', 'telemetry', 'routing', 'directory', 'key-lease', 'gateway', 'mesh', 'replica', 'room', 'upstream-client', 'loop-share'],
	'stand-in': ['model', 'clock'],
};

const decisions = new Set(['model', 'consensus', 'ownership', 'placement', 'membership', 'configuration', 'limits', 'room', 'routing', 'burn', 'control', 'key-lease', 'directory', 'gateway']);

const restrictedSyntax = [
	{selector: 'TSEnumDeclaration', message: 'Use a constant object in place of an enum.'},
	{selector: 'SwitchStatement', message: 'Use a lookup table of handlers.'},
	{selector: 'ThrowStatement > NewExpression[callee.name!="FailureError"]', message: 'Throw a FailureError: every failure has a type.'},
	{selector: 'ThrowStatement > Literal, ThrowStatement > TemplateLiteral', message: 'Throw a FailureError: every failure has a type.'},
	{selector: 'CallExpression[callee.property.name="err"] > Literal, CallExpression[callee.property.name="err"] > TemplateLiteral', message: 'A failure is never a bare string.'},
];

const restrictedModules = ['child_process', 'worker_threads', 'cluster'].map(name => ({
	name: `node:${name}`,
	message: 'There is one loop on one thread, and a process starts no other.',
}));

const edgeModules = ['node:fs', 'node:fs/promises', 'node:net', 'node:http', 'undici', 'fastify', '@grpc/grpc-js', '@bufbuild/protobuf'].map(name => ({
	name,
	message: 'Decisions stay apart from input and output.',
}));

function layerRule(name, allowed) {
	return {
		files: [`packages/${name}/src/**/*.ts`],
		rules: {
			'no-restricted-imports': ['error', {
				paths: [...restrictedModules, ...(decisions.has(name) ? edgeModules : [])],
				patterns: [{
					regex: `^@dogwooddeck/(?!(?:${[...allowed, name].join('|')})/)`,
					message: `${name} may import only: ${allowed.join(', ') || 'nothing of the workspace'}.`,
				}],
			}],
		},
	};
}

/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['target/**', 'journal/**', '**/dist/**', '**/generated/**', '**/*.md']},
	{
		rules: {
			'no-restricted-syntax': ['error', ...restrictedSyntax],
			'no-restricted-imports': ['error', {paths: restrictedModules}],
			// Nest's decorators are called as functions by design.
			'new-cap': ['error', {capIsNewExceptionPattern: '^(?:Controller|Get|Post|Put|Delete|Inject|Module|Injectable|Body|Param|Query|Req|Res|Headers|HttpCode|Header|Catch|All)$'}],
			// Fields of the protocols of others (grpc, headers, protobuf) have their own case.
			'@typescript-eslint/naming-convention': 'off',
			// Handlers of one table share one signature, whether each needs all of it or not.
			'max-params': ['error', {max: 5}],
			// A constant object and the type of its values share a name; the compiler checks redeclarations.
			'@typescript-eslint/no-redeclare': 'off',
			// Log writes and requests that depend on each other come one after the other.
			'no-await-in-loop': 'off',
			// The runner of node:test gives promises that it awaits itself.
			'@typescript-eslint/no-floating-promises': ['error', {allowForKnownSafeCalls: [{from: 'package', name: ['test', 'it', 'describe', 'suite'], package: 'node:test'}]}],
			// A state machine's handlers fold over events; a reducer is the plain way to say so.
			'unicorn/no-array-reduce': 'off',
			// Libraries below (grpc, undici) use null as a value of their own.
			'@typescript-eslint/no-restricted-types': 'off',
			// Doc comments begin with the sentence that they are.
			'capitalized-comments': 'off',
			// An index into an array by a variable is checked by noUncheckedIndexedAccess.
			'unicorn/prevent-abbreviations': ['error', {checkFilenames: true}],
		},
	},
	...Object.entries(layers).map(([name, allowed]) => layerRule(name, allowed)),
	{
		files: ['packages/*/test/**/*.ts', 'platform/test/**/*.ts', 'packages/bench/**', 'packages/stand-in/**', 'scripts/**'],
		rules: {'no-restricted-imports': 'off'},
	},
	{
		// A program ends its process when it has stopped.
		files: ['platform/src/program.ts'],
		rules: {'unicorn/no-process-exit': 'off'},
	},
	{
		// The bundler is part of the platform's build, which runs on an installed workspace.
		files: ['platform/build.js'],
		rules: {'no-restricted-imports': 'off'},
	},
	{
		files: ['**/index.ts', '**/index.js'],
		rules: {'no-restricted-syntax': ['error', {selector: 'Program', message: 'No index files: give the module a name.'}]},
	},
];

export default config;
