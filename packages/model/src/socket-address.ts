/**
 * Addresses that a connection can be made to.
 */

const form = /^(?<host>\d{1,3}(?:\.\d{1,3}){3}):(?<port>\d{1,5})$/v;
const highestOctet = 255;
const highestPort = 65_535;

/** Whether a text is `IP:port`, with an IPv4 address and a port that exist. */
export function isSocketAddress(text: string): boolean {
	const {host, port} = form.exec(text)?.groups ?? {};
	return host !== undefined
		&& host.split('.').every(octet => Number(octet) <= highestOctet)
		&& Number(port) > 0 && Number(port) <= highestPort;
}
