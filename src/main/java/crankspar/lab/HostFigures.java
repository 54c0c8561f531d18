package crankspar.lab;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;

/** What a process under experiment tells of itself. */
final class HostFigures {
  private HostFigures() {}

  /** Bytes of heap in use after a collection. */
  static long heap() {
    System.gc();
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  /** Bytes allocated by all threads that live, since their start. */
  static long allocated() {
    var threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    long sum = 0;
    for (long bytes : threads.getThreadAllocatedBytes(threads.getAllThreadIds())) {
      sum += Math.max(0, bytes);
    }
    return sum;
  }

  /** Processor time of the whole process (microseconds). */
  static long cpuMicros() {
    return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
            .getProcessCpuTime()
        / 1000;
  }
}
