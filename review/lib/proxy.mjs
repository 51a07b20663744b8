/** A TCP proxy on loopback whose open connections can go silent for good, without a reset. */
import {connect, createServer} from 'node:net';

export class SilencingProxy {
  links = new Set();

  /** @param onBytes called with the bytes that a client sends, before they are forwarded. */
  constructor(port, targetPort, onBytes = () => {}) {
    this.server = createServer((client) => {
      const upstream = connect({port: targetPort, host: '127.0.0.1'});
      const link = {client, upstream, isSilent: false};
      this.links.add(link);
      client.setNoDelay(true);
      upstream.setNoDelay(true);
      client.on('data', (bytes) => {
        if (link.isSilent) return;
        upstream.write(bytes);
        onBytes(bytes);
      });
      upstream.on('data', (bytes) => {
        if (!link.isSilent) client.write(bytes);
      });
      const end = () => {
        this.links.delete(link);
        client.destroy();
        upstream.destroy();
      };
      client.on('error', end);
      client.on('close', end);
      // The server's end is not passed on over a silent connection.
      const endUnlessSilent = () => {
        if (!link.isSilent) end();
      };
      upstream.on('error', endUnlessSilent);
      upstream.on('close', endUnlessSilent);
    });
    this.server.listen(port, '127.0.0.1');
  }

  /** Silences all connections that are open now; new ones work. Returns how many. */
  silence() {
    for (const link of this.links) link.isSilent = true;
    return this.links.size;
  }

  close() {
    this.server.close();
    for (const {client, upstream} of this.links) {
      client.destroy();
      upstream.destroy();
    }
  }
}
