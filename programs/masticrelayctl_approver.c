/* The customer's key pair: generates it and reads its keys. */

#include <errno.h>
#include <fcntl.h>
#include <sodium.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "config/approval.h"
#include "masticrelay.h"
#include "masticrelayctl.h"

/* Writes the new file @path, readable by its owner only. Fails if the file
 * exists, so that no key is overwritten. */
static ctl_status_t
write_secret_key(const ctl_t *ctl, const char *path, const char *secret)
{
    int fd = open(path, O_WRONLY | O_CREAT | O_EXCL, S_IRUSR | S_IWUSR);

    if (fd < 0) {
        return ctl_fail(ctl, CTL_FAILED, "%s: %s", path, strerror(errno));
    }
    FILE *file = fdopen(fd, "w");
    bool written = file != NULL && fprintf(file, "%s\n", secret) > 0
                   && fflush(file) == 0 && fsync(fd) == 0;
    if (file != NULL) {
        written = fclose(file) == 0 && written;
    }
    else {
        close(fd);
    }
    if (!written) {
        unlink(path);
        return ctl_fail(ctl, CTL_FAILED, "cannot write %s", path);
    }
    return CTL_DONE;
}

ctl_status_t
ctl_approver_create(CTL_PARAMETERS)
{
    char public_key[MR_OP_APPROVER_PUBLIC_BYTES];
    char secret_key[MR_OP_APPROVER_SECRET_BYTES];

    if (!ctl_parse_options(ctl, command, NULL, &argc, &argv)) {
        return CTL_USAGE;
    }
    if (!mr_op_approver_create(public_key, secret_key)) {
        return ctl_fail(ctl, CTL_FAILED, "cannot generate a key pair");
    }
    ctl_status_t status = write_secret_key(ctl, argv[0], secret_key);
    sodium_memzero(secret_key, sizeof(secret_key));
    if (status != CTL_DONE) {
        return status;
    }
    if (ctl->settings.json) {
        json_t *result =
            json_pack("{s:s,s:s}", "public_key", public_key, "file", argv[0]);
        ctl_print_json(result);
        json_decref(result);
    }
    else {
        printf("%s\n", public_key);
    }
    return CTL_DONE;
}

ctl_status_t
ctl_read_approver_key(const ctl_t *ctl,
                      uint8_t secret_key[MR_APPROVAL_SECRET_KEY_BYTES])
{
    const char *path = ctl->settings.approver_key;
    char text[MR_OP_APPROVER_SECRET_BYTES] = "";
    struct stat info;
    size_t len = 0;

    if (path == NULL) {
        return ctl_fail(ctl, CTL_USAGE,
                        "--approver-key or MASTICRELAY_APPROVER_KEY is "
                        "required");
    }
    int fd = open(path, O_RDONLY);
    if (fd < 0 || fstat(fd, &info) != 0) {
        ctl_fail(ctl, CTL_FAILED, "%s: %s", path, strerror(errno));
        goto fail;
    }
    if ((info.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
        ctl_fail(ctl, CTL_FAILED, "%s is accessible to others than its owner",
                 path);
        goto fail;
    }
    ssize_t got = read(fd, text, sizeof(text) - 1);
    if (got != sizeof(text) - 1
        || sodium_hex2bin(secret_key, MR_APPROVAL_SECRET_KEY_BYTES, text,
                          sizeof(text) - 1, NULL, &len, NULL)
               != 0
        || len != MR_APPROVAL_SECRET_KEY_BYTES) {
        ctl_fail(ctl, CTL_FAILED, "%s does not contain a secret key", path);
        goto fail;
    }
    close(fd);
    sodium_memzero(text, sizeof(text));
    return CTL_DONE;
fail:
    if (fd >= 0) {
        close(fd);
    }
    sodium_memzero(text, sizeof(text));
    return CTL_FAILED;
}

ctl_status_t
ctl_read_public_key(const ctl_t *ctl,
                    uint8_t public_key[MR_APPROVAL_PUBLIC_KEY_BYTES])
{
    const char *text = ctl->settings.approver_public_key;
    uint8_t secret_key[MR_APPROVAL_SECRET_KEY_BYTES];
    size_t len = 0;

    if (text == NULL && ctl->settings.approver_key != NULL) {
        ctl_status_t status = ctl_read_approver_key(ctl, secret_key);
        if (status == CTL_DONE) {
            crypto_sign_ed25519_sk_to_pk(public_key, secret_key);
            sodium_memzero(secret_key, sizeof(secret_key));
        }
        return status;
    }
    if (text == NULL) {
        return ctl_fail(ctl, CTL_USAGE,
                        "--approver-public-key or "
                        "MASTICRELAY_APPROVER_PUBLIC_KEY is required");
    }
    if (strlen(text) != MR_APPROVAL_PUBLIC_KEY_BYTES * 2
        || sodium_hex2bin(public_key, MR_APPROVAL_PUBLIC_KEY_BYTES, text,
                          strlen(text), NULL, &len, NULL)
               != 0
        || len != MR_APPROVAL_PUBLIC_KEY_BYTES) {
        return ctl_fail(ctl, CTL_USAGE,
                        "--approver-public-key must be 64 hex digits");
    }
    return CTL_DONE;
}
