/**
 * Addresses at which other processes are reached. Those that come from the store,
 * the host list or a peer may be anything: only an IP address of one machine
 * with a port is used, never a name, which would be looked up, nor an address
 * that means this machine or many.
 */
import * as z from "zod";

const MAX_PORT = 65_535;
const PORT = /^[1-9]\d{0,4}$/;
const IPV4 = z.ipv4();
const IPV6 = z.ipv6();
/** Lowest first byte of multicast and reserved addresses; 0 is this machine. */
const FIRST_MULTICAST_BYTE = 224;

/** Splits `IP:port`, with the IP in brackets for IPv6. */
export function parseSocketAddress(
  address: string,
): { host: string; port: number } {
  const separator = address.lastIndexOf(":");
  return {
    host: address.slice(0, separator).replace(/^\[|\]$/g, ""),
    port: Number(address.slice(separator + 1)),
  };
}

/** Returns whether the text is the IP address of one other machine. */
export function isIpAddress(text: string): boolean {
  if (!text.includes(":")) {
    if (!IPV4.safeParse(text).success) return false;
    const firstByte = Number(text.split(".")[0]);
    return firstByte > 0 && firstByte < FIRST_MULTICAST_BYTE;
  }
  return IPV6.safeParse(text).success && !/^(?:ff|::$)/i.test(text);
}

/** Returns whether the text is `IP:port` with an address that can be used. */
export function isSocketAddress(text: string): boolean {
  const separator = text.lastIndexOf(":");
  const portText = text.slice(separator + 1);
  if (!PORT.test(portText) || Number(portText) > MAX_PORT) return false;
  const hostText = text.slice(0, separator);
  const isBracketed = hostText.startsWith("[") && hostText.endsWith("]");
  const { host } = parseSocketAddress(text);
  return host.includes(":") === isBracketed && isIpAddress(host);
}

export const ipAddressSchema = z.string().refine(isIpAddress, {
  error: "expected an IP address of one machine",
});

export const socketAddressSchema = z.string().refine(isSocketAddress, {
  error: `expected IP:port with a port from 1 to ${MAX_PORT}`,
});
