/**
 * Validation of socket addresses.
 */

const pattern = /^(?<host>\d{1,3}(?:\.\d{1,3}){3}):(?<port>\d{1,5})$/v;
const highestOctet = 255;
const highestPort = 65_535;

/** Whether a text has the form `IP:port`, with a valid IPv4 address and a port from 1 to 65535. */
export function isSocketAddress(text: string): boolean {
	const {host, port} = pattern.exec(text)?.groups ?? {};
	return host !== undefined
		&& host.split('.').every(octet => Number(octet) <= highestOctet)
		&& Number(port) > 0 && Number(port) <= highestPort;
}
