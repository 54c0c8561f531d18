package crankspar.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.RepeatedTest;

/** The process stands still while a peer sends, ends its side, and a timer comes due. */
class AfterPauseTest {
  /**
   * A client that left during the pause was sent for once more, as the timer that was due came
   * before its end.
   */
  @RepeatedTest(3)
  void whatConnectionsHaveBroughtComesBeforeTheTimersThatWereDue() throws Exception {
    BlockingQueue<String> events = new LinkedBlockingQueue<>();
    var still = new CountDownLatch(1);
    var left = new CountDownLatch(1);
    try (var loop = new EventLoop("test")) {
      var listener =
          loop.listen(
              new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
              () ->
                  new ConnectionHandler() {
                    @Override
                    public void opened(Connection out) {
                      events.add("opened");
                    }

                    @Override
                    public void received(ByteBuffer in) {
                      in.position(in.limit());
                      events.add("received");
                    }

                    @Override
                    public void ended(String why) {
                      events.add("ended");
                    }
                  });
      try (var peer = new Socket(listener.address().getAddress(), listener.address().getPort())) {
        assertThat(events.poll(5, TimeUnit.SECONDS)).isEqualTo("opened");
        loop.run(
            () -> {
              loop.after(50, () -> events.add("timer"));
              still.countDown();
              try {
                left.await();
                TimeUnit.MILLISECONDS.sleep(
                    (long) StallDetector.THRESHOLD + 50); // the pause's own time
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
        still.await();
        peer.getOutputStream().write(1);
        peer.shutdownOutput();
        left.countDown();
        assertThat(
                List.of(
                    events.poll(5, TimeUnit.SECONDS),
                    events.poll(5, TimeUnit.SECONDS),
                    events.poll(5, TimeUnit.SECONDS)))
            .containsExactly("received", "ended", "timer");
      }
      listener.close();
    }
  }
}
