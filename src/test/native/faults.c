/*
 * Faults for one process, by LD_PRELOAD: a disk that refuses, writes half or kills the process at a chosen step, a wall clock
 * that steps, and socket calls that fail. What is to fail stands in a file of 64-bit slots that the test maps and changes
 * while the process runs. FAULTS_FILE names it; FAULTS_FOLDER is the folder whose files the disk faults apply to.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum slot {
    OPEN_ERRNO, READ_ERRNO, WRITE_ERRNO, SYNC_ERRNO, RENAME_ERRNO, HALF_WRITE, KILL_AT, STEPS, CLOCK_MS,
    ACCEPT_ERRNO, ACCEPT_COUNT, CONNECT_ERRNO, CONNECT_COUNT, SOCKET_ERRNO, SOCKET_COUNT, SYNC_DELAY_MS, INJECTED, SLOTS
};

#define DESCRIPTORS 65536
static volatile int64_t *slots;
static const char *folder;
static volatile char inside[DESCRIPTORS];

#define REAL(name) ((__typeof__(&name)) real(#name))

static void *real(const char *name) {
    return dlsym(RTLD_NEXT, name);
}

__attribute__((constructor)) static void begin(void) {
    const char *file = getenv("FAULTS_FILE");
    folder = getenv("FAULTS_FOLDER");
    int fd = file == NULL ? -1 : REAL(open)(file, O_RDWR);
    if (fd >= 0) {
        void *map = mmap(NULL, SLOTS * sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
        slots = map == MAP_FAILED ? NULL : map;
        REAL(close)(fd);
    }
}

static int64_t value(enum slot s) {
    return slots == NULL ? 0 : slots[s];
}

static int fails(enum slot s) {
    int64_t error = value(s);
    if (error == 0) {
        return 0;
    }
    __sync_fetch_and_add(&slots[INJECTED], 1);
    errno = (int) error;
    return 1;
}

/* A fault that ends by itself after so many calls. */
static int fails_counted(enum slot error, enum slot count) {
    if (value(error) == 0 || value(count) <= 0 || __sync_fetch_and_sub(&slots[count], 1) <= 0) {
        return 0;
    }
    return fails(error);
}

static int in_folder(const char *path) {
    return slots != NULL && folder != NULL && strncmp(path, folder, strlen(folder)) == 0;
}

static int is_inside(int fd) {
    return slots != NULL && fd >= 0 && fd < DESCRIPTORS && inside[fd];
}

/* One step of work on the folder is about to be done; the process may die before it. */
static int step(void) {
    int64_t n = __sync_add_and_fetch(&slots[STEPS], 1);
    return value(KILL_AT) > 0 && n >= value(KILL_AT);
}

static void die(void) {
    kill(getpid(), SIGKILL);
    for (;;) {
        pause();
    }
}

static int opened(const char *path, int flags, mode_t mode, const char *name) {
    int (*open_real)(const char *, int, ...) = real(name);
    int mine = in_folder(path);
    if (mine && (flags & (O_WRONLY | O_RDWR | O_CREAT)) && step()) {
        die();
    }
    if (mine && fails(OPEN_ERRNO)) {
        return -1;
    }
    int fd = open_real(path, flags, mode);
    if (fd >= 0 && fd < DESCRIPTORS) {
        inside[fd] = (char) mine;
    }
    return fd;
}

int open(const char *path, int flags, ...) {
    va_list more;
    va_start(more, flags);
    mode_t mode = va_arg(more, mode_t);
    va_end(more);
    return opened(path, flags, mode, "open");
}

int open64(const char *path, int flags, ...) {
    va_list more;
    va_start(more, flags);
    mode_t mode = va_arg(more, mode_t);
    va_end(more);
    return opened(path, flags, mode, "open64");
}

int close(int fd) {
    if (fd >= 0 && fd < DESCRIPTORS) {
        inside[fd] = 0;
    }
    return REAL(close)(fd);
}

ssize_t read(int fd, void *to, size_t n) {
    if (is_inside(fd) && fails(READ_ERRNO)) {
        return -1;
    }
    return REAL(read)(fd, to, n);
}

ssize_t write(int fd, const void *from, size_t n) {
    if (!is_inside(fd)) {
        return REAL(write)(fd, from, n);
    }
    if (step()) {
        REAL(write)(fd, from, n / 2);         /* a kill leaves half a write */
        die();
    }
    if (fails(WRITE_ERRNO)) {
        return -1;
    }
    return REAL(write)(fd, from, value(HALF_WRITE) && n > 1 ? n / 2 : n);
}

static int synced(int fd, const char *name) {
    int (*sync_real)(int) = real(name);
    if (is_inside(fd)) {
        if (step()) {
            die();
        }
        if (value(SYNC_DELAY_MS) > 0) {
            usleep((useconds_t) value(SYNC_DELAY_MS) * 1000);
        }
        if (fails(SYNC_ERRNO)) {
            return -1;
        }
    }
    return sync_real(fd);
}

int fsync(int fd) {
    return synced(fd, "fsync");
}

int fdatasync(int fd) {
    return synced(fd, "fdatasync");
}

int rename(const char *from, const char *to) {
    if (in_folder(to)) {
        if (step()) {
            die();
        }
        if (fails(RENAME_ERRNO)) {
            return -1;
        }
    }
    return REAL(rename)(from, to);
}

int clock_gettime(clockid_t clock, struct timespec *to) {
    int result = REAL(clock_gettime)(clock, to);
    if (clock == CLOCK_REALTIME && result == 0 && value(CLOCK_MS) != 0) {
        int64_t ns = to->tv_nsec + (value(CLOCK_MS) % 1000) * 1000000;
        to->tv_sec += value(CLOCK_MS) / 1000;
        if (ns >= 1000000000) {
            to->tv_sec++;
            ns -= 1000000000;
        } else if (ns < 0) {
            to->tv_sec--;
            ns += 1000000000;
        }
        to->tv_nsec = ns;
    }
    return result;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    return fails_counted(ACCEPT_ERRNO, ACCEPT_COUNT) ? -1 : REAL(accept)(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    return fails_counted(ACCEPT_ERRNO, ACCEPT_COUNT) ? -1 : REAL(accept4)(fd, address, length, flags);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    return fails_counted(CONNECT_ERRNO, CONNECT_COUNT) ? -1 : REAL(connect)(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    return domain != AF_UNIX && fails_counted(SOCKET_ERRNO, SOCKET_COUNT) ? -1 : REAL(socket)(domain, type, protocol);
}
