package crankspar.syslog;

import java.io.IOException;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Sends log records to a syslog collector, over UDP (RFC 5426) or octet-counted TCP (RFC 6587). Its
 * own thread does the sending: the loop only puts into a bounded queue, and what finds no room is
 * dropped and counted, so that a collector that hangs never holds up a request.
 */
public final class SyslogHandler extends Handler {
  public enum Transport {
    UDP,
    TCP
  }

  private static final int QUEUE = 1024;
  private static final int CONNECT_MS = 1000;
  private static final int AGAIN_MS = 1000;

  private final InetSocketAddress collector;
  private final Transport transport;
  private final ArrayBlockingQueue<byte[]> queue;
  private final AtomicLong dropped = new AtomicLong();
  private final AtomicLong sent = new AtomicLong();
  private final Thread sender;
  private volatile boolean closed;
  private Socket tcp;

  public SyslogHandler(InetSocketAddress collector, Transport transport, Formatter formatter) {
    this(collector, transport, formatter, QUEUE);
  }

  SyslogHandler(InetSocketAddress collector, Transport transport, Formatter formatter, int room) {
    this.collector = collector;
    this.transport = transport;
    queue = new ArrayBlockingQueue<>(room);
    setFormatter(formatter);
    sender = new Thread(this::send, "syslog");
    sender.setDaemon(true);
    sender.start();
  }

  public long dropped() {
    return dropped.get();
  }

  public long sent() {
    return sent.get();
  }

  @Override
  public void publish(LogRecord record) {
    if (!isLoggable(record) || closed) {
      return;
    }
    if (!queue.offer(getFormatter().format(record).getBytes(StandardCharsets.UTF_8))) {
      dropped.incrementAndGet();
    }
  }

  private void send() {
    try (DatagramSocket udp = transport == Transport.UDP ? new DatagramSocket() : null) {
      while (!closed || !queue.isEmpty()) {
        byte[] message = queue.poll(100, TimeUnit.MILLISECONDS);
        if (message == null) {
          continue;
        }
        try {
          if (udp != null) {
            udp.send(new DatagramPacket(message, message.length, collector));
          } else {
            overTcp(message);
          }
          sent.incrementAndGet();
        } catch (IOException e) {
          dropped.incrementAndGet();
          hangUp();
          if (transport == Transport.TCP && !closed) {
            Thread.sleep(AGAIN_MS);
          }
        }
      }
    } catch (IOException e) {
      System.err.println("syslog: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      dropped.addAndGet(queue.size());
      hangUp();
    }
  }

  private void overTcp(byte[] message) throws IOException {
    if (tcp == null) {
      tcp = new Socket();
      tcp.connect(collector, CONNECT_MS);
    }
    OutputStream out = tcp.getOutputStream();
    byte[] count = (message.length + " ").getBytes(StandardCharsets.US_ASCII);
    byte[] frame = new byte[count.length + message.length];
    System.arraycopy(count, 0, frame, 0, count.length);
    System.arraycopy(message, 0, frame, count.length, message.length);
    out.write(frame);
  }

  private void hangUp() {
    if (tcp != null) {
      try {
        tcp.close();
      } catch (IOException e) {
        // it is given up in any case
      }
      tcp = null;
    }
  }

  /** Nothing is held here that a flush could hurry. */
  @Override
  public void flush() {}

  @Override
  public void close() {
    closed = true;
    try {
      sender.join(500);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    sender.interrupt();
  }
}
