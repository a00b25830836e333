#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <stdlib.h>

#include "common/mem.h"
#include "harness.h"

enum { VALIDITY_S = 3600 };

void
harness_write_certificate(const char *folder, const char *name,
                          const char *address, long serial)
{
    char *paths[] = {mr_asprintf("%s/%s.pem", folder, name),
                     mr_asprintf("%s/%s.key", folder, name)};
    char *alt_name = mr_asprintf("IP:%s", address);
    EVP_PKEY *key = EVP_EC_gen("P-256");
    X509 *cert = X509_new();
    X509_NAME *subject = X509_get_subject_name(cert);

    X509_set_version(cert, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(cert), serial);
    X509_gmtime_adj(X509_getm_notBefore(cert), -60);
    X509_gmtime_adj(X509_getm_notAfter(cert), VALIDITY_S);
    X509_set_pubkey(cert, key);
    X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                               (const unsigned char *)name, -1, -1, 0);
    X509_set_issuer_name(cert, subject);
    X509_EXTENSION *extension =
        X509V3_EXT_conf_nid(NULL, NULL, NID_subject_alt_name, alt_name);
    ck_assert_int_eq(X509_add_ext(cert, extension, -1), 1);
    ck_assert_int_gt(X509_sign(cert, key, EVP_sha256()), 0);
    FILE *file = fopen(paths[0], "w");
    ck_assert_int_eq(PEM_write_X509(file, cert), 1);
    fclose(file);
    file = fopen(paths[1], "w");
    ck_assert_int_eq(
        PEM_write_PrivateKey(file, key, NULL, NULL, 0, NULL, NULL), 1);
    fclose(file);
    X509_EXTENSION_free(extension);
    X509_free(cert);
    EVP_PKEY_free(key);
    free(alt_name);
    free(paths[0]);
    free(paths[1]);
}
